package io.flamingogap.core.rollout;

/**
 * What can be bad about a request, and the share of it that is expected before any
 * request of the version in use has been seen.
 */
enum BadOutcome {

	/** The request failed, broke off or stalled. */
	FAILURE("failures", 0.005) {

		@Override
		long count(Tally tally) {
			return tally.failures();
		}

	},

	/** The answer came later than one in ten answers of the version in use. */
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
	 * Return the number of requests with this outcome.
	 * @param tally counts of one version
	 * @return the number
	 */
	abstract long count(Tally tally);

	String label() {
		return this.label;
	}

	double expectedShare() {
		return this.expectedShare;
	}

}
