package io.flamingogap.measure;

/**
 * Kinds of candidates in the simulated rollouts. Each gives the probability that a
 * request to the candidate fails or is slow. For the version in use the probabilities are
 * {@link #BASE_FAILURE} and {@link #BASE_SLOW} unless a kind changes them.
 */
enum CandidateKind {

	/** Fails and is slow as often as the version in use. */
	GOOD(false),
	/**
	 * Equal to the version in use, while both suffer from a zone reclaim and a load peak.
	 */
	GOOD_IN_TROUBLE(false),
	/** Fails one request in five. */
	FAILS_AT_ONCE(true) {

		@Override
		double failure(double elapsed, double share, int route, int zone) {
			return 0.2;
		}

	},
	/** Fails twice as often as a version in use that fails 1 %. */
	FAILS_TWICE(true) {

		@Override
		double baseFailure(double elapsed) {
			return 0.01;
		}

		@Override
		double failure(double elapsed, double share, int route, int zone) {
			return 0.02;
		}

	},
	/** Fails one request in five from the middle of the rollout on. */
	FAILS_LATER(true) {

		@Override
		double failure(double elapsed, double share, int route, int zone) {
			return isBadAt(elapsed, share) ? 0.2 : BASE_FAILURE;
		}

		@Override
		boolean isBadAt(double elapsed, double share) {
			return elapsed > 0.5;
		}

	},
	/** Takes 1.5 times as long as the version in use. */
	SLOW(true) {

		@Override
		double slow(double elapsed, double share) {
			return SLOW_AT_ONE_AND_A_HALF;
		}

	},
	/** Takes 1.5 times as long once its share exceeds a tenth of the traffic. */
	SLOW_UNDER_LOAD(true) {

		@Override
		double slow(double elapsed, double share) {
			return isBadAt(elapsed, share) ? SLOW_AT_ONE_AND_A_HALF : BASE_SLOW;
		}

		@Override
		boolean isBadAt(double elapsed, double share) {
			return share > 0.1;
		}

	},
	/** Fails half of the requests of a route with 8 % of the traffic. */
	BAD_ON_ONE_ROUTE(true) {

		@Override
		double failure(double elapsed, double share, int route, int zone) {
			return (route == 2) ? 0.5 : BASE_FAILURE;
		}

	},
	/** Fails three in ten requests in one of three zones. */
	BAD_IN_ONE_ZONE(true) {

		@Override
		double failure(double elapsed, double share, int route, int zone) {
			return (zone == 1) ? 0.3 : BASE_FAILURE;
		}

	},
	/** Fails all requests, as it never becomes ready. */
	NEVER_READY(true) {

		@Override
		double failure(double elapsed, double share, int route, int zone) {
			return 1;
		}

	},
	/** Stalls one stream in ten. */
	STALLS(true) {

		@Override
		double failure(double elapsed, double share, int route, int zone) {
			return 0.1;
		}

	};

	static final double BASE_FAILURE = 0.005;

	static final double BASE_SLOW = 0.1;

	/**
	 * Probability that a request which takes 1.5 times as long is slow, if latency is
	 * log-normal with sigma 0.5 and the threshold is its 90th percentile.
	 */
	static final double SLOW_AT_ONE_AND_A_HALF = 0.32;

	private final boolean bad;

	CandidateKind(boolean bad) {
		this.bad = bad;
	}

	boolean isBad() {
		return this.bad;
	}

	/**
	 * Return whether the candidate is worse than the version in use at a point in time.
	 * @param elapsed the elapsed fraction of the time until the deadline, 0 to 1
	 * @param share the candidate's share of the traffic, 0 to 1
	 * @return {@code true} if it is worse
	 */
	boolean isBadAt(double elapsed, double share) {
		return this.bad;
	}

	/**
	 * Return the probability that a request of the version in use fails.
	 * @param elapsed the elapsed fraction of the time until the deadline, 0 to 1
	 * @return the probability, 0 to 1
	 */
	double baseFailure(double elapsed) {
		return isInTrouble(elapsed) ? 0.05 : BASE_FAILURE;
	}

	/**
	 * Return the probability that a request of the version in use is slow.
	 * @param elapsed the elapsed fraction of the time until the deadline, 0 to 1
	 * @return the probability, 0 to 1
	 */
	double baseSlow(double elapsed) {
		return isInTrouble(elapsed) ? 0.3 : BASE_SLOW;
	}

	private boolean isInTrouble(double elapsed) {
		return this == GOOD_IN_TROUBLE && ((elapsed > 0.1 && elapsed < 0.15) || (elapsed > 0.55 && elapsed < 0.6));
	}

	/**
	 * Return the probability that a request of the candidate fails.
	 * @param elapsed the elapsed fraction of the time until the deadline, 0 to 1
	 * @param share the candidate's share of the traffic, 0 to 1
	 * @param route the index of the route
	 * @param zone the index of the zone
	 * @return the probability, 0 to 1
	 */
	double failure(double elapsed, double share, int route, int zone) {
		return baseFailure(elapsed);
	}

	/**
	 * Return the probability that a request of the candidate is slow.
	 * @param elapsed the elapsed fraction of the time until the deadline, 0 to 1
	 * @param share the candidate's share of the traffic, 0 to 1
	 * @return the probability, 0 to 1
	 */
	double slow(double elapsed, double share) {
		return baseSlow(elapsed);
	}

}
