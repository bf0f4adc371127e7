package io.flamingogap.core.fleet;

/**
 * Tells when the servers that operators started for a service have all registered, after
 * the first start of the whole system. Each server registers by itself, so their number
 * is known only when it has stopped rising.
 * <p>
 * Not thread-safe.
 */
public final class FirstRegistrations {

	/**
	 * How long no server may have been added. Exceeds the time between two records of a
	 * server and the time between two reads of the records together.
	 */
	static final long SETTLE_MILLIS = 2_200;

	private int highest = -1;

	private long risenAtMillis;

	private boolean complete;

	/**
	 * Update the number of registered servers.
	 * @param servers the number of servers that take requests
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if all servers have registered; stays so
	 */
	public boolean update(int servers, long nowMillis) {
		if (servers > this.highest) {
			this.highest = servers;
			this.risenAtMillis = nowMillis;
		}
		this.complete |= nowMillis - this.risenAtMillis >= SETTLE_MILLIS;
		return this.complete;
	}

}
