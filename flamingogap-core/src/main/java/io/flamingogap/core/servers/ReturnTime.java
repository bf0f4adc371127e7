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

	private static long spread(long millis, double random) {
		return Math.round(millis * (1 - SPREAD / 2 + SPREAD * random));
	}

}
