package io.flamingogap.core.attempt;

import java.util.HashSet;
import java.util.Set;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.serving.RouteRule;

/**
 * What is known of one attempt of a caller. The one place that decides whether another
 * server may be tried and whether "not run" is true.
 * <p>
 * Not safe for use by several threads.
 */
public final class Attempt {

	/** Dispatches that end without a run; bounds the search for a server that accepts. */
	private static final int MAX_DISPATCHES = 6;

	private final RouteRule route;

	private final long startedAtMillis;

	private final long deadlineMillis;

	private final Set<String> triedServers = new HashSet<>();

	private int dispatches;

	private int runsPossible;

	private boolean reachedServer;

	/**
	 * Create an attempt.
	 * @param route the route of the request
	 * @param budgetMillis the time that the caller waits
	 * @param nowMillis the present time
	 */
	public Attempt(RouteRule route, long budgetMillis, long nowMillis) {
		this.route = route;
		this.startedAtMillis = nowMillis;
		this.deadlineMillis = nowMillis + Math.min(budgetMillis, route.timeoutMillis());
	}

	/**
	 * Record a dispatch before its first byte is sent.
	 * @param server the id of the server
	 */
	public void recordDispatch(String server) {
		this.dispatches++;
		this.runsPossible++;
		this.triedServers.add(server);
	}

	/**
	 * Record how the last dispatch ended.
	 * @param outcome the outcome
	 */
	public void recordOutcome(DispatchOutcome outcome) {
		this.reachedServer |= outcome.arrived();
		if (!outcome.mayHaveRun()) {
			this.runsPossible--;
		}
	}

	/**
	 * Return whether the request may be sent to another server.
	 * @param nowMillis the present time
	 * @return {@code true} if that keeps the bounds of the route
	 */
	public boolean mayTryAnotherServer(long nowMillis) {
		if (nowMillis >= this.deadlineMillis || this.dispatches >= MAX_DISPATCHES) {
			return false;
		}
		return this.runsPossible == 0 || (this.route.isRepeatable() && this.runsPossible < this.route.maxServers());
	}

	/**
	 * Return whether a further dispatch counts as a retry at the service.
	 * @return {@code true} if the request may have reached a server
	 */
	public boolean isNextDispatchRetry() {
		return this.reachedServer;
	}

	/**
	 * Return whether a server was tried.
	 * @param server the id of the server
	 * @return {@code true} if it was
	 */
	public boolean hasTried(String server) {
		return this.triedServers.contains(server);
	}

	/**
	 * Return the failure that is true if nothing more is tried.
	 * @param detail what happened, for people
	 * @param nowMillis the present time
	 * @return the failure
	 */
	public Failure failure(String detail, long nowMillis) {
		if (this.runsPossible == 0) {
			return Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, "backend", detail);
		}
		if (nowMillis >= this.deadlineMillis) {
			return Failure.deadlineExceeded(Step.DISPATCH, "backend", detail);
		}
		return Failure.outcomeUnknown(Step.DISPATCH, "backend", detail);
	}

	/**
	 * Return whether a server may have run the request.
	 * @return {@code false} if none has and none will
	 */
	public boolean mayHaveRun() {
		return this.runsPossible > 0;
	}

	/**
	 * Return the time left.
	 * @param nowMillis the present time
	 * @return the time in milliseconds, at least 0
	 */
	public long remainingMillis(long nowMillis) {
		return Math.max(0, this.deadlineMillis - nowMillis);
	}

	/**
	 * Return the time since the request was read.
	 * @param nowMillis the present time
	 * @return the time in milliseconds
	 */
	public long elapsedMillis(long nowMillis) {
		return nowMillis - this.startedAtMillis;
	}

	/**
	 * Return the number of dispatches so far.
	 * @return the number
	 */
	public int dispatchCount() {
		return this.dispatches;
	}

	/**
	 * Return the route.
	 * @return the route
	 */
	public RouteRule route() {
		return this.route;
	}

}
