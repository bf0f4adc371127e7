package io.flamingogap.core.rollout;

/**
 * Counts of requests to one version, by outcome.
 *
 * @param requests the number of requests with a known outcome
 * @param failures how many of them failed, broke off or stalled
 * @param slow how many of them took longer than the threshold of the node that counted
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
	 * Return the counts with one more request.
	 * @param failed whether the request failed
	 * @param wasSlow whether the request was slow
	 * @return the new counts
	 */
	Tally plusRequest(boolean failed, boolean wasSlow) {
		return new Tally(this.requests + 1, this.failures + (failed ? 1 : 0), this.slow + (wasSlow ? 1 : 0));
	}

	/**
	 * Return the sum of these counts and those of other requests.
	 * @param other counts of other requests
	 * @return the sum
	 */
	public Tally plus(Tally other) {
		return new Tally(this.requests + other.requests, this.failures + other.failures, this.slow + other.slow);
	}

	/**
	 * Merge two states of the same counts, which only grow.
	 * @param other another state of the same counts
	 * @return the larger value of each count
	 */
	Tally merge(Tally other) {
		return new Tally(Math.max(this.requests, other.requests), Math.max(this.failures, other.failures),
				Math.max(this.slow, other.slow));
	}

}
