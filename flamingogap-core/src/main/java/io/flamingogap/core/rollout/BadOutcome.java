package io.flamingogap.core.rollout;

/**
 * Kind of bad outcome of a request, with its prior: the share of requests that is assumed
 * to have it until requests of the current version are counted.
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

	private final double priorShare;

	BadOutcome(String label, double priorShare) {
		this.label = label;
		this.priorShare = priorShare;
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

	double priorShare() {
		return this.priorShare;
	}

}
