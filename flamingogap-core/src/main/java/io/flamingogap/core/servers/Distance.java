package io.flamingogap.core.servers;

/**
 * Network distance between an entry node and a backend server, with the delay that the
 * server selection adds for it. The delay is the round-trip time plus the price of the
 * traffic, converted to a delay.
 */
public enum Distance {

	/** In the same availability zone. */
	SAME_ZONE(0),

	/** In another zone of the region. */
	SAME_REGION(6),

	/** In another region. */
	OTHER_REGION(70);

	private final double costMillis;

	Distance(double costMillis) {
		this.costMillis = costMillis;
	}

	/**
	 * Return the delay that the server selection adds for the distance.
	 * @return the delay in milliseconds
	 */
	public double costMillis() {
		return this.costMillis;
	}

}
