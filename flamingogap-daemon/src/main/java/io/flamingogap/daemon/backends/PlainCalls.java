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
import io.flamingogap.core.manifest.Service;
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
		VersionPick next = pick;
		Either<Failure, Answer> outcome = tryOnce(next, call, tried, deadlineMillis);
		while (shouldRetry(outcome, next) && this.clock.millis() < deadlineMillis
				&& this.servers.trySpendRetry(service)) {
			next = next.current();
			Either<Failure, Answer> again = tryOnce(next, call, tried, deadlineMillis);
			if (again.isLeft() && again.getLeft().step() == Step.ROUTE) {
				return outcome;
			}
			outcome = again;
		}
		return outcome;
	}

	private static boolean shouldRetry(Either<Failure, Answer> outcome, VersionPick pick) {
		return outcome.fold((failure) -> failure.step() != Step.ROUTE || pick.arm() == Arm.CANDIDATE,
				(answer) -> answer.status() >= SERVER_ERROR);
	}

	private Either<Failure, Answer> tryOnce(VersionPick pick, BackendCall call, Set<String> tried,
			long deadlineMillis) {
		Optional<BackendServer> acquired = this.servers.acquire(pick.query(tried), this.clock.millis());
		if (acquired.isEmpty()) {
			this.rollouts.report(pick, true, 0);
			return Either.left(Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, pick.service().name(),
					"no backend server of version " + pick.version() + " is ready"));
		}
		BackendServer server = acquired.get();
		tried.add(server.name());
		long startMillis = this.clock.millis();
		try {
			CallResult result = this.client.call(server, call, attemptTimeoutMillis(pick.service(), deadlineMillis));
			this.rollouts.report(pick, result, this.servers.isLeaving(server.name(), this.clock.millis()),
					this.clock.millis() - startMillis);
			return outcome(server, result);
		}
		finally {
			this.servers.release(server);
		}
	}

	/**
	 * Half of the time left bounds one attempt, so that a silent connection leaves time
	 * for another; an attempt always gets its latency target.
	 * @param service the service
	 * @param deadlineMillis when the caller stops waiting
	 * @return the time for one attempt
	 */
	private long attemptTimeoutMillis(Service service, long deadlineMillis) {
		long leftMillis = Math.max(1, deadlineMillis - this.clock.millis());
		return Math.min(leftMillis, Math.max(service.targetMillis(), leftMillis / 2));
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
