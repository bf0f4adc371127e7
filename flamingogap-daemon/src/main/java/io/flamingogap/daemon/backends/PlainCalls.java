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
 * Makes repeatable calls of plain services, with retries at other servers within the
 * caller's deadline and the retry budget.
 */
public final class PlainCalls {

	private static final int SERVER_ERROR = 500;

	private static final int MAX_SHIFT = 10;

	private final BackendClient client;

	private final BackendServers servers;

	private final Rollouts rollouts;

	private final Clock clock;

	/**
	 * Create the calls.
	 * @param client the client of backend servers
	 * @param servers what is known of them
	 * @param rollouts counts outcomes by version
	 * @param clock tells the present time
	 */
	public PlainCalls(BackendClient client, BackendServers servers, Rollouts rollouts, Clock clock) {
		this.client = client;
		this.servers = servers;
		this.rollouts = rollouts;
		this.clock = clock;
	}

	/**
	 * Make a call.
	 * @param pick the version that answers
	 * @param call the call
	 * @param deadlineMillis when the caller stops waiting
	 * @return the answer, or why there is none
	 */
	public Either<Failure, Answer> call(VersionPick pick, BackendCall call, long deadlineMillis) {
		String service = pick.service().name();
		this.servers.recordFirstTry(service);
		Set<String> tried = new HashSet<>();
		Either<Failure, Answer> outcome = tryOnce(pick, call, tried, timeoutMillis(pick, 0, deadlineMillis));
		for (int retry = 1; shouldRetry(outcome, pick, retry) && this.clock.millis() < deadlineMillis
				&& this.servers.trySpendRetry(service); retry++) {
			outcome = tryOnce(pick.current(), call, tried, timeoutMillis(pick, retry, deadlineMillis));
		}
		return outcome;
	}

	private static boolean shouldRetry(Either<Failure, Answer> outcome, VersionPick pick, int retry) {
		boolean wasCandidate = pick.arm() == Arm.CANDIDATE && retry == 1;
		return outcome.fold((failure) -> failure.step() != Step.ROUTE || wasCandidate,
				(answer) -> answer.status() >= SERVER_ERROR);
	}

	/**
	 * A connection that has gone silent must leave time for another one, and a slow
	 * answer must come through in the end: the first attempt gets the latency target and
	 * the silence bound, each further one twice as long.
	 * @param pick the version that answers
	 * @param retry the number of the retry, 0 for the first try
	 * @param deadlineMillis when the caller stops waiting
	 * @return the time for the attempt
	 */
	private long timeoutMillis(VersionPick pick, int retry, long deadlineMillis) {
		long boundMillis = (pick.service().targetMillis() + pick.service().tokenGapMillis()) << Math.min(retry,
				MAX_SHIFT);
		return Math.max(1, Math.min(boundMillis, deadlineMillis - this.clock.millis()));
	}

	private Either<Failure, Answer> tryOnce(VersionPick pick, BackendCall call, Set<String> tried, long timeoutMillis) {
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
			return outcome(server, result);
		}
		finally {
			this.servers.release(server);
		}
	}

	/**
	 * Prefer servers that were not tried; when all were, a new connection to one of them
	 * may still work.
	 * @param pick the version that answers
	 * @param tried the names of the servers that were tried
	 * @return a server, if one is ready
	 */
	private Optional<BackendServer> acquire(VersionPick pick, Set<String> tried) {
		long nowMillis = this.clock.millis();
		return this.servers.acquire(pick.query(tried), nowMillis)
			.or(() -> this.servers.acquire(pick.query(Set.of()), nowMillis));
	}

	private Either<Failure, Answer> outcome(BackendServer server, CallResult result) {
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
