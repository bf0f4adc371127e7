package io.flamingogap.core.rollout;

/**
 * Counts of requests that one node sent to one version.
 *
 * @param requests the requests with an outcome
 * @param failures those that failed, broke off or stalled
 * @param slow those that took longer than the node's threshold
 */
public record Tally(long requests, long failures, long slow) {

	/** No requests. */
	public static final Tally NONE = new Tally(0, 0, 0);

	public Tally {
		if (failures < 0 || slow < 0 || requests < failures || requests < slow) {
			throw new IllegalArgumentException(
					"failures and slow must be 0 to requests but were " + failures + ", " + slow + ", " + requests);
		}
	}

	/**
	 * Count one more request.
	 * @param failed whether it failed
	 * @param wasSlow whether it was slow
	 * @return the raised counts
	 */
	Tally count(boolean failed, boolean wasSlow) {
		return new Tally(this.requests + 1, this.failures + (failed ? 1 : 0), this.slow + (wasSlow ? 1 : 0));
	}

	/**
	 * Add counts of other requests.
	 * @param other the other counts
	 * @return the sum
	 */
	public Tally plus(Tally other) {
		return new Tally(this.requests + other.requests, this.failures + other.failures, this.slow + other.slow);
	}

	/**
	 * Merge two states of the same growing counts.
	 * @param other another state
	 * @return the later one of each
	 */
	Tally merge(Tally other) {
		return new Tally(Math.max(this.requests, other.requests), Math.max(this.failures, other.failures),
				Math.max(this.slow, other.slow));
	}

}
