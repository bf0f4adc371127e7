package io.flamingogap.core.attempt;

import java.util.HashSet;
import java.util.Set;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.serving.RouteRule;

/**
 * The dispatches of one attempt of a caller and their outcomes. Only this class decides
 * whether another backend server may be tried and whether the request is reported as not
 * run.
 * <p>
 * Not thread-safe.
 */
public final class Attempt {

	/**
	 * Maximum number of dispatches, whatever their outcomes. The route limits how many of
	 * them may execute the request.
	 */
	private static final int MAX_DISPATCHES = 6;

	private final RouteRule route;

	private final long startedAtMillis;

	private final long deadlineMillis;

	private final Set<String> triedServers = new HashSet<>();

	private int dispatchCount;

	private int possibleExecutions;

	private boolean mayHaveReachedServer;

	/**
	 * Create an attempt that starts now and was not dispatched yet. Its deadline is the
	 * earlier of the caller's timeout and that of the route.
	 * @param route the route of the request
	 * @param callerTimeoutMillis the time that the caller waits, in milliseconds
	 * @param nowMillis the current time of a monotonic clock in milliseconds
	 */
	public Attempt(RouteRule route, long callerTimeoutMillis, long nowMillis) {
		this.route = route;
		this.startedAtMillis = nowMillis;
		this.deadlineMillis = nowMillis + Math.min(callerTimeoutMillis, route.timeoutMillis());
	}

	/**
	 * Record a dispatch. Must be called before its first byte is sent.
	 * @param server the id of the backend server
	 */
	public void recordDispatch(String server) {
		this.dispatchCount++;
		this.possibleExecutions++;
		this.triedServers.add(server);
	}

	/**
	 * Record the outcome of the last dispatch.
	 * @param outcome what is known after the dispatch ended without an answer
	 */
	public void recordOutcome(DispatchOutcome outcome) {
		this.mayHaveReachedServer |= outcome.mayHaveReachedServer();
		if (!outcome.mayHaveRun()) {
			this.possibleExecutions--;
		}
	}

	/**
	 * Return whether the request may be dispatched to another backend server.
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 * @return {@code true} if neither the deadline nor the limit of dispatches is reached
	 * and another execution would not exceed what the route allows
	 */
	public boolean mayTryAnotherServer(long nowMillis) {
		if (nowMillis >= this.deadlineMillis || this.dispatchCount >= MAX_DISPATCHES) {
			return false;
		}
		return this.possibleExecutions == 0
				|| (this.route.isRepeatable() && this.possibleExecutions < this.route.maxExecutions());
	}

	/**
	 * Return whether the next dispatch counts towards the retry budget of the service.
	 * @return {@code true} if the request may have reached a backend server
	 */
	public boolean isNextDispatchRetry() {
		return this.mayHaveReachedServer;
	}

	/**
	 * Return whether the request was dispatched to a backend server.
	 * @param server the id of the backend server
	 * @return {@code true} after any dispatch to this server, whatever its outcome
	 */
	public boolean hasTried(String server) {
		return this.triedServers.contains(server);
	}

	/**
	 * Return the failure to report if no other backend server is tried.
	 * @param detail a human-readable description of the cause
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 * @return a failure that says "not run" only if no server has executed or will
	 * execute the request
	 */
	public Failure failure(String detail, long nowMillis) {
		if (this.possibleExecutions == 0) {
			return Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, "backend", detail);
		}
		if (nowMillis >= this.deadlineMillis) {
			return Failure.deadlineExceeded(Step.DISPATCH, "backend", detail);
		}
		return Failure.outcomeUnknown(Step.DISPATCH, "backend", detail);
	}

	/**
	 * Return whether a backend server may have executed the request.
	 * @return {@code false} if none has executed it and none will
	 */
	public boolean mayHaveRun() {
		return this.possibleExecutions > 0;
	}

	/**
	 * Return the time left until the deadline.
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 * @return the time in milliseconds, at least 0
	 */
	public long remainingMillis(long nowMillis) {
		return Math.max(0, this.deadlineMillis - nowMillis);
	}

	/**
	 * Return the time since the attempt was created.
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 * @return the time in milliseconds
	 */
	public long elapsedMillis(long nowMillis) {
		return nowMillis - this.startedAtMillis;
	}

	/**
	 * Return the number of dispatches so far.
	 * @return the number, whatever their outcomes
	 */
	public int dispatchCount() {
		return this.dispatchCount;
	}

	/**
	 * Return the route of the request.
	 * @return the route
	 */
	public RouteRule route() {
		return this.route;
	}

}
