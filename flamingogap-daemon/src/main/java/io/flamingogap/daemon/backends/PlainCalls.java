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
	 * @param choice the version that answers
	 * @param call the call
	 * @param deadlineMillis when the caller stops waiting
	 * @return the answer, or why there is none
	 */
	public Either<Failure, Answer> call(VersionChoice choice, BackendCall call, long deadlineMillis) {
		String service = choice.service().name();
		this.servers.recordFirstTry(service);
		Set<String> tried = new HashSet<>();
		Either<Failure, Answer> outcome = tryOnce(choice, call, tried, timeoutMillis(choice, 0, deadlineMillis));
		for (int retry = 1; shouldRetry(outcome, choice, retry) && this.clock.millis() < deadlineMillis
				&& this.servers.trySpendRetry(service); retry++) {
			outcome = tryOnce(choice.withCurrentVersion(), call, tried, timeoutMillis(choice, retry, deadlineMillis));
		}
		return outcome;
	}

	private static boolean shouldRetry(Either<Failure, Answer> outcome, VersionChoice choice, int retry) {
		boolean wasCandidate = choice.arm() == Arm.CANDIDATE && retry == 1;
		return outcome.fold((failure) -> failure.step() != Step.ROUTE || wasCandidate,
				(answer) -> answer.status() >= SERVER_ERROR);
	}

	/**
	 * A connection that has gone silent must leave time for another one, and a slow
	 * answer must come through in the end: the first attempt gets the latency target and
	 * the silence bound, each further one twice as long.
	 * @param choice the version that answers
	 * @param retry the number of the retry, 0 for the first try
	 * @param deadlineMillis when the caller stops waiting
	 * @return the time for the attempt
	 */
	private long timeoutMillis(VersionChoice choice, int retry, long deadlineMillis) {
		long boundMillis = (choice.service().targetMillis() + choice.service().tokenGapMillis()) << Math.min(retry,
				MAX_SHIFT);
		return Math.max(1, Math.min(boundMillis, deadlineMillis - this.clock.millis()));
	}

	private Either<Failure, Answer> tryOnce(VersionChoice choice, BackendCall call, Set<String> tried,
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
			return outcome(server, result);
		}
		finally {
			this.servers.release(server);
		}
	}

	/**
	 * Prefer servers that were not tried; when all were, a new connection to one of them
	 * may still work.
	 * @param choice the version that answers
	 * @param tried the names of the servers that were tried
	 * @return a server, if one is ready
	 */
	private Optional<BackendServer> acquire(VersionChoice choice, Set<String> tried) {
		long nowMillis = this.clock.millis();
		return this.servers.acquire(choice.toServerQuery(tried), nowMillis)
			.or(() -> this.servers.acquire(choice.toServerQuery(Set.of()), nowMillis));
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
