package io.flamingogap.daemon.backends;

import java.time.Clock;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.rollouts.VersionChoice;

/**
 * Client for repeatable calls to plain services. Failed calls are retried at other
 * servers until the caller's deadline, as far as the retry budget allows.
 */
public final class PlainServiceClient {

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	private static final int MAX_TIMEOUT_DOUBLINGS = 10;

	private final BackendClient client;

	private final BackendServers servers;

	private final Rollouts rollouts;

	private final Clock clock;

	/**
	 * Create a client.
	 * @param client the HTTP client for backend servers
	 * @param servers selects the servers
	 * @param rollouts receives the outcome of each attempt
	 * @param clock provides the current time
	 */
	public PlainServiceClient(BackendClient client, BackendServers servers, Rollouts rollouts, Clock clock) {
		this.client = client;
		this.servers = servers;
		this.rollouts = rollouts;
		this.clock = clock;
	}

	/**
	 * Call a plain service.
	 * @param choice the service and version to call
	 * @param call the call
	 * @param deadlineMillis the caller's deadline on this node's clock, in milliseconds
	 * since 1970 UTC
	 * @return the answer, or the failure of the last attempt
	 */
	public Either<Failure, Answer> call(VersionChoice choice, BackendCall call, long deadlineMillis) {
		String service = choice.service().name();
		this.servers.recordFirstTry(service);
		Set<String> tried = new HashSet<>();
		Either<Failure, Answer> outcome = attempt(choice, call, tried, timeoutMillis(choice, 0, deadlineMillis));
		for (int retry = 1; shouldRetry(outcome, choice, retry) && this.clock.millis() < deadlineMillis
				&& this.servers.trySpendRetry(service); retry++) {
			outcome = attempt(choice.withCurrentVersion(), call, tried, timeoutMillis(choice, retry, deadlineMillis));
		}
		return outcome;
	}

	private static boolean shouldRetry(Either<Failure, Answer> outcome, VersionChoice choice, int retry) {
		boolean firstAttemptWasCandidate = choice.arm() == Arm.CANDIDATE && retry == 1;
		return outcome.fold((failure) -> failure.step() != Step.ROUTE || firstAttemptWasCandidate,
				(answer) -> answer.status() >= FIRST_SERVER_ERROR_STATUS);
	}

	/**
	 * Return the timeout of an attempt. The timeout of the first attempt is the sum of
	 * the service's latency target and token gap; each retry doubles it. A short first
	 * timeout leaves time to retry if the connection is silent, and the doubling allows a
	 * slow answer to arrive.
	 * @param choice the service and version to call
	 * @param retry the number of the retry; 0 for the first attempt
	 * @param deadlineMillis the caller's deadline, in milliseconds since 1970 UTC
	 * @return the timeout in milliseconds, at least 1
	 */
	private long timeoutMillis(VersionChoice choice, int retry, long deadlineMillis) {
		long attemptMillis = (choice.service().targetMillis() + choice.service().tokenGapMillis()) << Math.min(retry,
				MAX_TIMEOUT_DOUBLINGS);
		return Math.max(1, Math.min(attemptMillis, deadlineMillis - this.clock.millis()));
	}

	private Either<Failure, Answer> attempt(VersionChoice choice, BackendCall call, Set<String> tried,
			long timeoutMillis) {
		Optional<BackendServer> acquired = acquire(choice, tried);
		if (acquired.isEmpty()) {
			this.rollouts.recordOutcome(choice, true, 0);
			return Either.left(Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, choice.service().name(),
					"no backend server of version " + choice.version() + " is ready"));
		}
		BackendServer server = acquired.get();
		tried.add(server.name());
		long startMillis = this.clock.millis();
		try {
			CallResult result = this.client.call(server, call, timeoutMillis);
			this.rollouts.recordOutcome(choice, result, this.servers.isLeaving(server.name(), this.clock.millis()),
					this.clock.millis() - startMillis);
			return recordResult(server, result);
		}
		finally {
			this.servers.release(server);
		}
	}

	/**
	 * Choose a server that was not tried yet. If all were tried, choose any of them,
	 * because a new connection to it may work.
	 * @param choice the service and version to call
	 * @param tried the names of the servers that were tried
	 * @return the server, or empty if no server is ready
	 */
	private Optional<BackendServer> acquire(VersionChoice choice, Set<String> tried) {
		long nowMillis = this.clock.millis();
		return this.servers.acquire(choice.toServerQuery(tried), nowMillis)
			.or(() -> this.servers.acquire(choice.toServerQuery(Set.of()), nowMillis));
	}

	private Either<Failure, Answer> recordResult(BackendServer server, CallResult result) {
		if (result instanceof CallResult.Answered answered) {
			return Either.right(answered.answer());
		}
		this.servers.reportUnreachable(server, this.clock.millis());
		if (result instanceof CallResult.NotSent notSent) {
			return Either.left(notSent.failure());
		}
		Failure lost = ((CallResult.Lost) result).failure();
		return Either
			.left(new Failure(ProblemType.BACKEND_FAILED, lost.step(), lost.peer(), lost.execution(), lost.detail()));
	}

}
