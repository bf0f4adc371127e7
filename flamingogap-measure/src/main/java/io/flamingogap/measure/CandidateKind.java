package io.flamingogap.measure;

/**
 * Kinds of candidates in the simulated rollouts, with the chances that a request of
 * theirs fails or is slow. The version in use fails {@link #BASE_FAILURE} and is slow
 * {@link #BASE_SLOW} of the time.
 */
enum CandidateKind {

	/** As good as the version in use. */
	GOOD(false),
	/** As good, while both versions suffer from a zone reclaim and a wave of load. */
	GOOD_IN_TROUBLE(false),
	/** Fails one request in five. */
	FAILS_AT_ONCE(true) {

		@Override
		double failure(double passed, double share, int route, int zone) {
			return 0.2;
		}

	},
	/** Fails twice as often as a version in use that fails 1 %. */
	FAILS_TWICE(true) {

		@Override
		double baseFailure(double passed) {
			return 0.01;
		}

		@Override
		double failure(double passed, double share, int route, int zone) {
			return 0.02;
		}

	},
	/** Fails one request in five from the middle of the rollout on. */
	FAILS_LATER(true) {

		@Override
		double failure(double passed, double share, int route, int zone) {
			return isBadAt(passed, share) ? 0.2 : BASE_FAILURE;
		}

		@Override
		boolean isBadAt(double passed, double share) {
			return passed > 0.5;
		}

	},
	/** Takes 1.5 times as long. */
	SLOW(true) {

		@Override
		double slow(double passed, double share) {
			return SLOW_AT_ONE_AND_A_HALF;
		}

	},
	/** Takes 1.5 times as long once it has a tenth of the load. */
	SLOW_UNDER_LOAD(true) {

		@Override
		double slow(double passed, double share) {
			return isBadAt(passed, share) ? SLOW_AT_ONE_AND_A_HALF : BASE_SLOW;
		}

		@Override
		boolean isBadAt(double passed, double share) {
			return share > 0.1;
		}

	},
	/** Fails half of the requests of a route with 8 % of the traffic. */
	BAD_ON_ONE_ROUTE(true) {

		@Override
		double failure(double passed, double share, int route, int zone) {
			return (route == 2) ? 0.5 : BASE_FAILURE;
		}

	},
	/** Fails three in ten requests in one of three zones. */
	BAD_IN_ONE_ZONE(true) {

		@Override
		double failure(double passed, double share, int route, int zone) {
			return (zone == 1) ? 0.3 : BASE_FAILURE;
		}

	},
	/** Answers nothing. */
	NEVER_READY(true) {

		@Override
		double failure(double passed, double share, int route, int zone) {
			return 1;
		}

	},
	/** Stalls one stream in ten. */
	STALLS(true) {

		@Override
		double failure(double passed, double share, int route, int zone) {
			return 0.1;
		}

	};

	static final double BASE_FAILURE = 0.005;

	static final double BASE_SLOW = 0.1;

	/** Latency log-normal with sigma 0.5, threshold at its 90th percentile. */
	static final double SLOW_AT_ONE_AND_A_HALF = 0.32;

	private final boolean bad;

	CandidateKind(boolean bad) {
		this.bad = bad;
	}

	boolean isBad() {
		return this.bad;
	}

	/**
	 * Return whether the candidate is worse than the version in use at a time.
	 * @param passed the part of the time until the deadline that has passed
	 * @param share the candidate's share
	 * @return {@code true} if it is
	 */
	boolean isBadAt(double passed, double share) {
		return this.bad;
	}

	/**
	 * Return the chance that a request of the version in use fails.
	 * @param passed the part of the time until the deadline that has passed
	 * @return the chance
	 */
	double baseFailure(double passed) {
		return isTrouble(passed) ? 0.05 : BASE_FAILURE;
	}

	/**
	 * Return the chance that a request of the version in use is slow.
	 * @param passed the part of the time until the deadline that has passed
	 * @return the chance
	 */
	double baseSlow(double passed) {
		return isTrouble(passed) ? 0.3 : BASE_SLOW;
	}

	private boolean isTrouble(double passed) {
		return this == GOOD_IN_TROUBLE && ((passed > 0.1 && passed < 0.15) || (passed > 0.55 && passed < 0.6));
	}

	/**
	 * Return the chance that a request of the candidate fails.
	 * @param passed the part of the time until the deadline that has passed
	 * @param share the candidate's share
	 * @param route the number of the route
	 * @param zone the number of the zone
	 * @return the chance
	 */
	double failure(double passed, double share, int route, int zone) {
		return baseFailure(passed);
	}

	/**
	 * Return the chance that a request of the candidate is slow.
	 * @param passed the part of the time until the deadline that has passed
	 * @param share the candidate's share
	 * @return the chance
	 */
	double slow(double passed, double share) {
		return baseSlow(passed);
	}

}
