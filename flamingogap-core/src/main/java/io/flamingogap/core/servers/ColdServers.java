package io.flamingogap.core.servers;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Until when the servers are cold, as far as their registrations tell. The remaining time
 * counts from the arrival of a registration, so that a delay makes a server count as cold
 * for too long and never for too short a time. A value that can't be read makes its
 * server count as cold once, for as long as servers of its service are.
 * <p>
 * Not thread-safe.
 */
public final class ColdServers {

	private static final long NOT_COLD = Long.MIN_VALUE;

	private final Map<String, Run> runs = new HashMap<>();

	/**
	 * Record a registration.
	 * @param registration the registration, not older than the last one of its server
	 * @param duringTraffic whether a run that hasn't been recorded before may have
	 * started during traffic
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if the server has become cold
	 */
	public boolean record(ServerRegistration registration, boolean duringTraffic, long nowMillis) {
		Run known = this.runs.get(registration.id());
		boolean isNewRun = known == null || known.startedAtMillis != registration.startedAtMillis();
		OptionalLong told = registration.remainingColdTime().millis();
		boolean unreadable = !registration.remainingColdTime().unreadable().isEmpty();
		if (told.isPresent()) {
			long untilMillis = (told.getAsLong() > 0) ? nowMillis + told.getAsLong() : NOT_COLD;
			this.runs.put(registration.id(), new Run(registration.startedAtMillis(), untilMillis, NOT_COLD, false));
			return untilMillis != NOT_COLD && (known == null || nowMillis >= known.coldUntilMillis);
		}
		boolean maybeCold = isNewRun ? duringTraffic || known != null || unreadable : unreadable && !known.unreadable;
		if (isNewRun || maybeCold) {
			long untilMillis = isNewRun ? NOT_COLD : known.coldUntilMillis;
			this.runs.put(registration.id(),
					new Run(registration.startedAtMillis(), untilMillis, maybeCold ? nowMillis : NOT_COLD, unreadable));
		}
		return maybeCold;
	}

	/**
	 * Forget the servers that have left.
	 * @param isPresent tells by its id whether a server is still there
	 */
	public void retain(Predicate<String> isPresent) {
		this.runs.keySet().removeIf(isPresent.negate());
	}

	/**
	 * Return whether a server is cold.
	 * @param id the id of the server
	 * @param coldMillis how long a server of its service is cold after its start, in
	 * milliseconds
	 * @param nowMillis the current time of the monotonic clock
	 * @return {@code true} if its registration says so, or if it may have started during
	 * traffic and its registration says nothing about it
	 */
	public boolean isCold(String id, long coldMillis, long nowMillis) {
		Run run = this.runs.get(id);
		return run != null && (nowMillis < run.coldUntilMillis
				|| (run.maybeColdSinceMillis != NOT_COLD && nowMillis < run.maybeColdSinceMillis + coldMillis));
	}

	private record Run(long startedAtMillis, long coldUntilMillis, long maybeColdSinceMillis, boolean unreadable) {
	}

}
