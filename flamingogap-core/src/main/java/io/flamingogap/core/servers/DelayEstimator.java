package io.flamingogap.core.servers;

/**
 * Estimates the delay of a request at a server. Each property of the server that matters
 * for the selection is one term of the delay.
 */
final class DelayEstimator {

	/**
	 * Delay that each open request of an engine of usual speed adds to a new one, as it
	 * processes them in one batch. Those of a plain server add less if its requests are
	 * short.
	 */
	private static final double OPEN_REQUEST_COST_MILLIS = 2;

	/** Delay added for a server that fails all of its requests. */
	private static final double FAILURE_COST_MILLIS = 1_500;

	/**
	 * Delay added for a server whose registration ended while the store was disrupted.
	 */
	private static final double SUSPECT_COST_MILLIS = 200;

	/** Delay added for a server that couldn't be reached a short time ago. */
	private static final double UNREACHABLE_COST_MILLIS = 5_000;

	private final NodeLocality locality;

	/**
	 * Create an estimator.
	 * @param locality the location of this node
	 */
	DelayEstimator(NodeLocality locality) {
		this.locality = locality;
	}

	/**
	 * Estimate the delay of a request.
	 * @param server the server
	 * @param needs what the request asks for
	 * @param cachedTokens the tokens of the prompt that the server is believed to have
	 * cached
	 * @param pace the usual speed of the service's servers at this moment
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the delay, by its terms
	 */
	ExpectedDelay estimate(KnownServer server, RequestNeeds needs, double cachedTokens, ServicePace.Snapshot pace,
			long nowMillis) {
		ServerLoad load = server.load();
		double slowness = server.slowness().factor(nowMillis);
		double open = load.estimateOpenRequests(nowMillis);
		int slots = server.slots();
		// Engines admit waiting requests by their rank.
		double admittedBefore = needs.hasPrompt() ? 1 - pace.shareLessUrgent() : 1;
		double ahead = admittedBefore * Math.max(Math.max(0, open + 1 - slots), load.estimateWaiting(nowMillis));
		double millisPerToken = slowness / pace.tokensPerMilli();
		double ownTokens = Math.max(0, needs.prompt().promptTokens() - cachedTokens);
		double workMillis = needs.hasPrompt() ? pace.overheadMillis() : pace.slotMillis();
		double batchMillis = needs.hasPrompt() ? OPEN_REQUEST_COST_MILLIS
				: Math.min(OPEN_REQUEST_COST_MILLIS, pace.slotMillis() / slots);
		return new ExpectedDelay(load.estimateUnreadTokens(nowMillis) * millisPerToken, ownTokens * millisPerToken,
				workMillis * slowness, open * batchMillis * slowness, ahead * pace.slotMillis() / slots * slowness,
				this.locality.distanceTo(server.registration().zone()).costMillis(), riskMillis(server, nowMillis));
	}

	private static double riskMillis(KnownServer server, long nowMillis) {
		return server.health().failureShare(nowMillis) * FAILURE_COST_MILLIS
				+ (server.isSuspect() ? SUSPECT_COST_MILLIS : 0) + server.run().pause().returnCostMillis(nowMillis)
				+ (server.health().isAvoided(nowMillis) ? UNREACHABLE_COST_MILLIS : 0);
	}

}
