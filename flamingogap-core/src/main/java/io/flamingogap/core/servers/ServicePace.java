package io.flamingogap.core.servers;

/**
 * Usual speed of the servers of one service, and what is asked of them. What is known of
 * a single server is relative to it, so that a new server begins with it.
 * <p>
 * Not thread-safe.
 */
public final class ServicePace {

	private final PromptSpeed promptSpeed = new PromptSpeed();

	private final PlacementTrust placementTrust = new PlacementTrust();

	private final UrgencyMix urgencyMix = new UrgencyMix();

	private final PredictionError predictionError = new PredictionError();

	private final SlotTime slotTime = new SlotTime();

	/**
	 * Return the speed at this moment, to compare servers by.
	 * @param urgency the rank of the request to place
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the speed, which doesn't change any more
	 */
	Snapshot at(int urgency, long nowMillis) {
		return new Snapshot(this.promptSpeed.tokensPerMilli(nowMillis), this.promptSpeed.overheadMillis(nowMillis),
				this.slotTime.millis(), this.urgencyMix.shareMoreUrgentThan(urgency, nowMillis),
				this.urgencyMix.shareLessUrgentThan(urgency, nowMillis));
	}

	/**
	 * Return the speed at which the engines read prompts.
	 * @return the live estimate, updated by its callers
	 */
	public PromptSpeed promptSpeed() {
		return this.promptSpeed;
	}

	/**
	 * Return how far the placement of shared prefixes can be relied on.
	 * @return the live estimate, updated by its callers
	 */
	public PlacementTrust placementTrust() {
		return this.placementTrust;
	}

	/**
	 * Return the ranks of the requests that callers ask for.
	 * @return the live record, updated by its callers
	 */
	public UrgencyMix urgencyMix() {
		return this.urgencyMix;
	}

	/**
	 * Return how predictions of the time to the first token differ from it.
	 * @return the live estimate, updated by its callers
	 */
	public PredictionError predictionError() {
		return this.predictionError;
	}

	/**
	 * Return the time for which requests occupy a slot.
	 * @return the live estimate, updated by its callers
	 */
	public SlotTime slotTime() {
		return this.slotTime;
	}

	/**
	 * Usual speed at one moment.
	 *
	 * @param tokensPerMilli the prompt tokens that an engine reads in a millisecond
	 * @param overheadMillis the time to the first token of a prompt without tokens
	 * @param slotMillis the time for which a request occupies a slot
	 * @param shareMoreUrgent the share of the requests that are more urgent
	 * @param shareLessUrgent the share of the requests that are less urgent
	 */
	record Snapshot(double tokensPerMilli, double overheadMillis, double slotMillis, double shareMoreUrgent,
			double shareLessUrgent) {
	}

}
