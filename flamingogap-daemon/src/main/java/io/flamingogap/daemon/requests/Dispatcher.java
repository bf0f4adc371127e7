package io.flamingogap.daemon.requests;

import java.time.Clock;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.daemon.backends.BackendCall;
import io.flamingogap.daemon.backends.BackendClient;
import io.flamingogap.daemon.backends.BackendServers;
import io.flamingogap.daemon.backends.CallResult;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.rollouts.VersionChoice;

/**
 * Sends a keyed request to a backend server, at most once. A server that refuses the
 * connection has received nothing, so another one is tried.
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
	 * @param servers what is known of the backend servers
	 * @param client the client of backend servers
	 * @param answerTimeoutMillis how long a backend server may take
	 * @param rollouts chooses the version and counts outcomes by it
	 * @param lastDispatchMillis until when new dispatches are made, before a reclaim
	 * @param clock tells the present time
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
	 * Run a request to its outcome, or leave it accepted for the successor.
	 * @param request the request
	 * @param transitions the transitions of its key
	 */
	void run(KeyedRequest request, Transitions transitions) {
		Set<String> tried = new HashSet<>();
		while (this.clock.millis() < this.lastDispatchMillis.getAsLong()) {
			if (this.clock.millis() >= request.deadlineMillis()) {
				transitions.giveUp();
				return;
			}
			Optional<VersionChoice> choice = chooseVersion(request, !tried.isEmpty());
			Optional<BackendServer> server = choice
				.flatMap((found) -> this.servers.acquire(found.toServerQuery(tried), this.clock.millis()));
			if (server.isEmpty()) {
				tried.clear();
				sleep();
			}
			else if (dispatch(server.get(), choice.get(), request, transitions)) {
				return;
			}
			else {
				tried.add(server.get().name());
			}
		}
	}

	private Optional<VersionChoice> chooseVersion(KeyedRequest request, boolean afterFailure) {
		Optional<Service> service = this.configuration.manifest().findService(ServicePath.serviceName(request.path()));
		String rest = ServicePath.pathInService(request.path());
		Optional<VersionChoice> choice = service
			.map((found) -> this.rollouts.chooseVersion(found, request.key().toString(),
					found.findRoute(request.method(), rest).map(Object::toString).orElse(rest), false));
		return afterFailure ? choice.map(VersionChoice::withCurrentVersion) : choice;
	}

	/**
	 * Send the request to one server.
	 * @param server the server
	 * @param choice the version it runs
	 * @param request the request
	 * @param transitions the transitions of its key
	 * @return {@code true} if the request is not to be sent to another one
	 */
	private boolean dispatch(BackendServer server, VersionChoice choice, KeyedRequest request,
			Transitions transitions) {
		try {
			if (!transitions.startDispatch()) {
				return true;
			}
			long remainingMillis = Math.max(0, request.deadlineMillis() - this.clock.millis());
			BackendCall call = new BackendCall(request.method(), ServicePath.pathInService(request.path()),
					request.contentType(), request.body(), request.account(), request.key().toString(),
					remainingMillis);
			long startMillis = this.clock.millis();
			CallResult result = this.client.callOnce(server, call, this.answerTimeoutMillis);
			this.rollouts.recordOutcome(choice, result, this.servers.isLeaving(server.name(), this.clock.millis()),
					this.clock.millis() - startMillis);
			return conclude(server, request, result, transitions);
		}
		finally {
			this.servers.release(server);
		}
	}

	private boolean conclude(BackendServer server, KeyedRequest request, CallResult result, Transitions transitions) {
		if (result instanceof CallResult.Answered answered) {
			transitions.answered(answered.answer());
			return true;
		}
		this.servers.reportUnreachable(server, this.clock.millis());
		if (result instanceof CallResult.NotSent notSent) {
			logger.atWarning().log("request %s was not sent: %s", request.key(), notSent.failure());
			transitions.notSent();
			return false;
		}
		logger.atWarning().log("outcome of %s is unknown: %s", request.key(), ((CallResult.Lost) result).failure());
		transitions.lost();
		return true;
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
	 * The transitions of the key that is dispatched.
	 */
	interface Transitions {

		/**
		 * Take the right to send.
		 * @return {@code false} if the request must not be sent
		 */
		boolean startDispatch();

		/**
		 * Record the answer.
		 * @param answer the answer
		 */
		void answered(Answer answer);

		/**
		 * Record that the outcome can't be known.
		 */
		void lost();

		/**
		 * Record that nothing was sent.
		 */
		void notSent();

		/**
		 * Record that nothing was sent and nothing will be.
		 */
		void giveUp();

	}

}
