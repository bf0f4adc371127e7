package io.flamingogap.gateway.quarantine;

import io.netty.channel.EventLoop;

import io.flamingogap.core.quarantine.CrashSighting;
import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.backends.BackendConnectionPool;
import io.flamingogap.gateway.relay.PromptGuard;
import io.flamingogap.gateway.relay.RelayMetrics;

/**
 * Observes what prompts do to servers.
 */
public final class QuarantineExchange implements PromptGuard {

	private final ServerCrashDetector crashDetector;

	private final RelayMetrics metrics;

	/**
	 * Create an exchange.
	 * @param loop the event loop
	 * @param connectionPool opens the connections that probe servers
	 * @param metrics counts the crashes
	 */
	public QuarantineExchange(EventLoop loop, BackendConnectionPool connectionPool, RelayMetrics metrics) {
		this.crashDetector = new ServerCrashDetector(loop, connectionPool, this::onCrash);
		this.metrics = metrics;
	}

	@Override
	public void recordSurvival(ServerRegistration server, PromptMetadata prompt) {
		// Nothing is learnt from it yet.
	}

	@Override
	public void recordBroken(ServerRegistration server, PromptMetadata prompt) {
		this.crashDetector.recordBroken(server, prompt);
	}

	private void onCrash(CrashSighting sighting) {
		this.metrics.increment("crashed.server");
	}

}
