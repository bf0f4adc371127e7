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
import io.flamingogap.daemon.rollouts.VersionPick;

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
	 * @param pick the service and version to call
	 * @param call the call
	 * @param deadlineMillis the caller's deadline on this node's clock, in milliseconds
	 * since 1970 UTC
	 * @return the answer, or the failure of the last attempt
	 */
	public Either<Failure, Answer> call(VersionPick pick, BackendCall call, long deadlineMillis) {
		String service = pick.service().name();
		this.servers.recordFirstTry(service);
		Set<String> tried = new HashSet<>();
		Either<Failure, Answer> outcome = attempt(pick, call, tried, timeoutMillis(pick, 0, deadlineMillis));
		for (int retry = 1; shouldRetry(outcome, pick, retry) && this.clock.millis() < deadlineMillis
				&& this.servers.trySpendRetry(service); retry++) {
			outcome = attempt(pick.current(), call, tried, timeoutMillis(pick, retry, deadlineMillis));
		}
		return outcome;
	}

	private static boolean shouldRetry(Either<Failure, Answer> outcome, VersionPick pick, int retry) {
		boolean firstAttemptWasCandidate = pick.arm() == Arm.CANDIDATE && retry == 1;
		return outcome.fold((failure) -> failure.step() != Step.ROUTE || firstAttemptWasCandidate,
				(answer) -> answer.status() >= FIRST_SERVER_ERROR_STATUS);
	}

	/**
	 * Return the timeout of an attempt. The timeout of the first attempt is the sum of
	 * the service's latency target and token gap; each retry doubles it. A short first
	 * timeout leaves time to retry if the connection is silent, and the doubling allows a
	 * slow answer to arrive.
	 * @param pick the service and version to call
	 * @param retry the number of the retry; 0 for the first attempt
	 * @param deadlineMillis the caller's deadline, in milliseconds since 1970 UTC
	 * @return the timeout in milliseconds, at least 1
	 */
	private long timeoutMillis(VersionPick pick, int retry, long deadlineMillis) {
		long attemptMillis = (pick.service().targetMillis() + pick.service().tokenGapMillis()) << Math.min(retry,
				MAX_TIMEOUT_DOUBLINGS);
		return Math.max(1, Math.min(attemptMillis, deadlineMillis - this.clock.millis()));
	}

	private Either<Failure, Answer> attempt(VersionPick pick, BackendCall call, Set<String> tried, long timeoutMillis) {
		Optional<BackendServer> acquired = acquire(pick, tried);
		if (acquired.isEmpty()) {
			this.rollouts.report(pick, true, 0);
			return Either.left(Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, pick.service().name(),
					"no backend server of version " + pick.version() + " is ready"));
		}
		BackendServer server = acquired.get();
		tried.add(server.name());
		long startMillis = this.clock.millis();
		try {
			CallResult result = this.client.call(server, call, timeoutMillis);
			this.rollouts.report(pick, result, this.servers.isLeaving(server.name(), this.clock.millis()),
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
	 * @param pick the service and version to call
	 * @param tried the names of the servers that were tried
	 * @return the server, or empty if no server is ready
	 */
	private Optional<BackendServer> acquire(VersionPick pick, Set<String> tried) {
		long nowMillis = this.clock.millis();
		return this.servers.acquire(pick.query(tried), nowMillis)
			.or(() -> this.servers.acquire(pick.query(Set.of()), nowMillis));
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
