package io.flamingogap.gateway.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.core.quarantine.CrashSighting;
import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.PromptPart;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.backends.BackendConnectionPool;
import io.flamingogap.gateway.log.LogLine;

/**
 * Tells a crash of a server from a connection that broke: a server that has crashed takes
 * no connections right after it.
 * <p>
 * Not thread-safe; all calls must be made on the event loop.
 */
final class ServerCrashDetector {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long connections that break are collected before the server is probed. All of
	 * them break at once when it crashes.
	 */
	private static final long COLLECT_MILLIS = 20;

	private final EventLoop loop;

	private final BackendConnectionPool connectionPool;

	private final Consumer<CrashSighting> listener;

	private final Map<ServerRegistration, Set<String>> brokenPrompts = new HashMap<>();

	/**
	 * Create a detector.
	 * @param loop the event loop
	 * @param connectionPool opens the connections that probe servers
	 * @param listener receives each crash that this node saw
	 */
	ServerCrashDetector(EventLoop loop, BackendConnectionPool connectionPool, Consumer<CrashSighting> listener) {
		this.loop = loop;
		this.connectionPool = connectionPool;
		this.listener = listener;
	}

	/**
	 * Record that the connection to a server broke before it was known that the server
	 * survives to answer a prompt.
	 * @param server the registration of the run that the request was sent to
	 * @param prompt the prompt
	 */
	void recordBroken(ServerRegistration server, PromptMetadata prompt) {
		Set<String> parts = this.brokenPrompts.get(server);
		if (parts == null) {
			parts = new HashSet<>();
			this.brokenPrompts.put(server, parts);
			this.loop.schedule(() -> probe(server), COLLECT_MILLIS, TimeUnit.MILLISECONDS);
		}
		prompt.sharedPrefix().stream().map(PromptPart::id).forEach(parts::add);
	}

	private void probe(ServerRegistration server) {
		Set<String> parts = this.brokenPrompts.remove(server);
		if (parts == null) {
			return;
		}
		this.connectionPool.probe(server, (reachable) -> {
			logger.atInfo()
				.log("%s",
						LogLine.of(reachable ? "server reset connections" : "server crashed")
							.with("server", server.id())
							.with("service", server.service())
							.with("startedAtMillis", server.startedAtMillis())
							.with("suspectParts", String.join(",", parts)));
			if (!reachable) {
				this.listener.accept(new CrashSighting(server.id(), server.startedAtMillis(), server.service(), parts));
			}
		});
	}

}
