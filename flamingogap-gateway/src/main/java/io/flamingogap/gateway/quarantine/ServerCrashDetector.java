package io.flamingogap.gateway.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.core.quarantine.CrashSighting;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.backends.BackendConnectionPool;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.relay.GuardedRequest;

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

	private final Predicate<ServerRegistration> mayProbe;

	private final Consumer<CrashSighting> listener;

	/**
	 * Bounds the size of a sighting. Few requests to one server wait for their answers to
	 * begin at a time.
	 */
	private static final int MAX_REQUESTS = 128;

	private final Map<ServerRegistration, Suspects> suspectsByServer = new HashMap<>();

	/**
	 * Create a detector.
	 * @param loop the event loop
	 * @param connectionPool opens the connections that probe servers
	 * @param mayProbe accepts the servers that may be probed; crashes of others aren't
	 * seen
	 * @param listener receives each crash that this node saw
	 */
	ServerCrashDetector(EventLoop loop, BackendConnectionPool connectionPool, Predicate<ServerRegistration> mayProbe,
			Consumer<CrashSighting> listener) {
		this.loop = loop;
		this.connectionPool = connectionPool;
		this.mayProbe = mayProbe;
		this.listener = listener;
	}

	/**
	 * Record that the connection to a server broke before it was known that the server
	 * survives to answer a request.
	 * @param server the registration of the run that the request was sent to
	 * @param request the request
	 */
	void recordBroken(ServerRegistration server, GuardedRequest request) {
		Suspects suspects = this.suspectsByServer.get(server);
		if (suspects == null) {
			suspects = new Suspects();
			this.suspectsByServer.put(server, suspects);
			this.loop.schedule(() -> probe(server), COLLECT_MILLIS, TimeUnit.MILLISECONDS);
		}
		suspects.parts.addAll(request.sharedParts());
		if (suspects.requests.size() < MAX_REQUESTS) {
			suspects.requests.add(request.fingerprint());
		}
	}

	private void probe(ServerRegistration server) {
		Suspects suspects = this.suspectsByServer.remove(server);
		if (suspects == null || !this.mayProbe.test(server)) {
			return;
		}
		this.connectionPool.probe(server, (reachable) -> {
			logger.atInfo()
				.log("%s",
						LogLine.of(reachable ? "server reset connections" : "server crashed")
							.with("server", server.id())
							.with("service", server.service())
							.with("startedAtMillis", server.startedAtMillis())
							.with("suspectParts", String.join(",", suspects.parts))
							.with("suspectRequests", String.join(",", suspects.requests)));
			if (!reachable) {
				Set<String> all = new HashSet<>(suspects.parts);
				all.addAll(suspects.requests);
				this.listener.accept(new CrashSighting(server.id(), server.startedAtMillis(), server.service(), all));
			}
		});
	}

	/**
	 * What may have crashed a server.
	 */
	private static final class Suspects {

		/** The ids of shared prompt parts. */
		private final Set<String> parts = new HashSet<>();

		/** The fingerprints of requests. */
		private final Set<String> requests = new HashSet<>();

	}

}
