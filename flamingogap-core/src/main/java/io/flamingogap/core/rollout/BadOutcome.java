package io.flamingogap.core.rollout;

/**
 * Kind of bad outcome of a request, with the share of requests that is expected to have
 * it before any request of the current version was counted.
 */
enum BadOutcome {

	/** The request failed, broke off or stalled. */
	FAILURE("failures", 0.005) {

		@Override
		long count(Tally tally) {
			return tally.failures();
		}

	},

	/** The answer took longer than nine in ten answers of the current version. */
	SLOW_ANSWER("slow answers", 0.1) {

		@Override
		long count(Tally tally) {
			return tally.slow();
		}

	};

	private final String label;

	private final double expectedShare;

	BadOutcome(String label, double expectedShare) {
		this.label = label;
		this.expectedShare = expectedShare;
	}

	/**
	 * Return how many requests had this outcome.
	 * @param tally the counts of one version
	 * @return the number of requests
	 */
	abstract long count(Tally tally);

	String label() {
		return this.label;
	}

	double expectedShare() {
		return this.expectedShare;
	}

}
