package io.flamingogap.core.servers;

/**
 * How far a backend server is from an entry node, with the delay that its distance is
 * worth. The delays are the round trips of the users' sheets, plus the price of the bytes
 * in terms of delay.
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
	 * Return the delay that the distance is worth.
	 * @return the delay in milliseconds
	 */
	public double costMillis() {
		return this.costMillis;
	}

}
