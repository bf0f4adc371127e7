package io.flamingogap.daemon.requests;

import java.time.Clock;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.daemon.backends.BackendCall;
import io.flamingogap.daemon.backends.BackendClient;
import io.flamingogap.daemon.backends.BackendServers;
import io.flamingogap.daemon.backends.CallResult;
import io.flamingogap.daemon.backends.OneShotConnection;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.rollouts.VersionChoice;

/**
 * Sends keyed requests to backend servers, each at most once. A server that refuses the
 * connection has received nothing, so the request may go to another server.
 */
public final class Dispatcher {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long NO_SERVER_WAIT_MILLIS = 100;

	private final Configuration configuration;

	private final BackendServers servers;

	private final BackendClient client;

	private final long answerTimeoutMillis;

	private final Rollouts rollouts;

	private final LongSupplier lastDispatchMillis;

	private final Clock clock;

	/**
	 * Create a dispatcher.
	 * @param configuration the configuration in force
	 * @param servers selects a backend server for each dispatch
	 * @param client sends requests to backend servers
	 * @param answerTimeoutMillis how long to wait for the answer of a backend server
	 * @param rollouts chooses the version and counts the outcomes of each version
	 * @param lastDispatchMillis returns the time after which no dispatch starts, ahead of
	 * a reclaim, in milliseconds since 1970 UTC
	 * @param clock the clock for deadlines and latencies
	 */
	public Dispatcher(Configuration configuration, BackendServers servers, BackendClient client,
			long answerTimeoutMillis, Rollouts rollouts, LongSupplier lastDispatchMillis, Clock clock) {
		this.configuration = configuration;
		this.servers = servers;
		this.client = client;
		this.answerTimeoutMillis = answerTimeoutMillis;
		this.rollouts = rollouts;
		this.lastDispatchMillis = lastDispatchMillis;
		this.clock = clock;
	}

	/**
	 * Dispatch a request until its outcome is recorded. After the last dispatch time, an
	 * unsent request stays accepted, so that the successor of this node can dispatch it.
	 * @param request the accepted request
	 * @param transitions records the state changes of its key
	 */
	void run(KeyedRequest request, Transitions transitions) {
		Set<String> triedServers = new HashSet<>();
		while (this.clock.millis() < this.lastDispatchMillis.getAsLong()) {
			if (this.clock.millis() >= request.deadlineMillis()) {
				transitions.cancel();
				return;
			}
			Optional<VersionChoice> choice = chooseVersion(request, !triedServers.isEmpty());
			Optional<BackendServer> server = choice
				.flatMap((found) -> this.servers.acquire(found.toServerQuery(triedServers), this.clock.millis()));
			if (server.isEmpty()) {
				triedServers.clear();
				sleep();
			}
			else if (dispatch(server.get(), choice.get(), request, transitions)) {
				return;
			}
			else {
				triedServers.add(server.get().name());
			}
		}
	}

	private Optional<VersionChoice> chooseVersion(KeyedRequest request, boolean afterFailure) {
		Optional<Service> service = this.configuration.manifest().findService(ServicePath.serviceName(request.path()));
		String pathInService = ServicePath.pathInService(request.path());
		Optional<VersionChoice> choice = service.map((found) -> this.rollouts.chooseVersion(found,
				request.key().toString(),
				found.findRoute(request.method(), pathInService).map(Object::toString).orElse(pathInService), false));
		return afterFailure ? choice.map(VersionChoice::withCurrentVersion) : choice;
	}

	/**
	 * Send a request to one server and record the result. The dispatch starts only once
	 * the connection is open, so that a deadline that passes before finds a request that
	 * was certainly not sent.
	 * @param server the acquired server; released before this method returns
	 * @param choice the version that the server runs
	 * @param request the accepted request
	 * @param transitions records the state changes of its key
	 * @return {@code false} if nothing was sent and another server may be tried
	 */
	private boolean dispatch(BackendServer server, VersionChoice choice, KeyedRequest request,
			Transitions transitions) {
		try {
			long remainingMillis = Math.max(0, request.deadlineMillis() - this.clock.millis());
			BackendCall call = new BackendCall(request.method(), ServicePath.pathInService(request.path()),
					request.contentType(), request.body(), request.account(), request.key().toString(),
					remainingMillis);
			long startMillis = this.clock.millis();
			Either<CallResult.NotSent, OneShotConnection> connection = this.client.openFor(server, call,
					this.answerTimeoutMillis);
			if (connection.isLeft()) {
				recordOutcome(server, choice, connection.getLeft(), startMillis);
				logger.atWarning().log("request %s was not sent: %s", request.key(), connection.getLeft().failure());
				return false;
			}
			try (OneShotConnection open = connection.get()) {
				if (transitions.startDispatch()) {
					CallResult result = open.exchange();
					recordOutcome(server, choice, result, startMillis);
					recordResult(request, result, transitions);
				}
			}
			return true;
		}
		finally {
			this.servers.release(server);
		}
	}

	private void recordOutcome(BackendServer server, VersionChoice choice, CallResult result, long startMillis) {
		this.rollouts.recordOutcome(choice, result, this.servers.isLeaving(server.name(), this.clock.millis()),
				this.clock.millis() - startMillis);
		if (!(result instanceof CallResult.Answered)) {
			this.servers.reportUnreachable(server, this.clock.millis());
		}
	}

	private static void recordResult(KeyedRequest request, CallResult result, Transitions transitions) {
		if (result instanceof CallResult.Answered answered) {
			transitions.recordAnswer(answered.answer());
			return;
		}
		logger.atWarning()
			.log("outcome of request %s is unknown: %s", request.key(), ((CallResult.Lost) result).failure());
		transitions.recordUnknown();
	}

	private static void sleep() {
		try {
			Thread.sleep(NO_SERVER_WAIT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Records the state changes of one key during its dispatch.
	 */
	interface Transitions {

		/**
		 * Record that the request is about to be sent.
		 * @return {@code true} if the caller, and nobody else, may now send it
		 */
		boolean startDispatch();

		/**
		 * Record the answer of the backend server.
		 * @param answer the answer to store and replay
		 */
		void recordAnswer(Answer answer);

		/**
		 * Record that the request may have been executed but no answer arrived.
		 */
		void recordUnknown();

		/**
		 * Record that the request was not sent and never will be.
		 */
		void cancel();

	}

}
