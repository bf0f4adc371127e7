package io.flamingogap.core.servers;

import java.util.Collection;
import java.util.OptionalLong;

/**
 * Decides when a caller whose request was refused may come back.
 */
public final class ReturnTime {

	/** Delay if a place may be free at any time. */
	private static final long BUSY_MILLIS = 300;

	/** Callers that are refused at once come back within this share of the delay. */
	private static final double SPREAD = 0.4;

	/** Largest share of the remaining time budget that a caller is asked to wait for. */
	private static final double MAX_BUDGET_SHARE = 0.25;

	private ReturnTime() {
	}

	/**
	 * Return the delay after a refusal because this node, or each server, is busy.
	 * @param random a number from 0 to 1 that differs between callers, so that they don't
	 * come back together
	 * @return the delay in milliseconds
	 */
	public static long whenBusy(double random) {
		return spread(BUSY_MILLIS, random);
	}

	/**
	 * Return the delay after a refusal because no server could take the request. If all
	 * of them have asked for a pause, it ends with the first pause.
	 * @param servers the servers of the service
	 * @param random a number from 0 to 1 that differs between callers
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the delay in milliseconds
	 */
	public static long whenNoServer(Collection<KnownServer> servers, double random, long nowMillis) {
		boolean allPaused = servers.stream()
			.filter(KnownServer::takesRequests)
			.allMatch((server) -> server.run().pause().isActive(nowMillis));
		OptionalLong pauseMillis = servers.stream()
			.filter(KnownServer::takesRequests)
			.mapToLong((server) -> server.run().pause().untilMillis() - nowMillis)
			.min();
		return (allPaused && pauseMillis.isPresent())
				? Math.max(BUSY_MILLIS, pauseMillis.getAsLong()) + spread(BUSY_MILLIS, random) : whenBusy(random);
	}

	/**
	 * Return the delay after a refusal because the request would have waited for too
	 * long. Without further requests, the queue is short enough then for an answer within
	 * the goal.
	 * @param expectedMillis the expected time to the first token
	 * @param bound the goal and the time budget of the request
	 * @param shareMoreUrgent the share of the requests that are more urgent, which come
	 * first
	 * @param random a number from 0 to 1 that differs between callers
	 * @return the delay in milliseconds, short enough for an attempt within the budget
	 */
	public static long whenQueueIsLong(double expectedMillis, WaitBound bound, double shareMoreUrgent, double random) {
		double drainMillis = Math.max(BUSY_MILLIS, expectedMillis - bound.goalMillis()) * (1 + shareMoreUrgent);
		double longestMillis = Math.max(BUSY_MILLIS, bound.remainingMillis() * MAX_BUDGET_SHARE);
		return spread(Math.round(Math.min(drainMillis, longestMillis)), random);
	}

	private static long spread(long millis, double random) {
		return Math.round(millis * (1 - SPREAD / 2 + SPREAD * random));
	}

}
