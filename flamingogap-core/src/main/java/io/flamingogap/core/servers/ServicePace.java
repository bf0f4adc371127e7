package io.flamingogap.core.servers;

/**
 * Usual speed of the servers of one service. What is known of a single server is relative
 * to it, so that a new server begins with it.
 * <p>
 * Not thread-safe.
 */
public final class ServicePace {

	private final PromptSpeed promptSpeed = new PromptSpeed();

	private final PlacementTrust placementTrust = new PlacementTrust();

	private final SlotTime slotTime = new SlotTime();

	/**
	 * Return the speed at this moment, to compare servers by.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the speed, which doesn't change any more
	 */
	Snapshot at(long nowMillis) {
		return new Snapshot(this.promptSpeed.tokensPerMilli(nowMillis), this.promptSpeed.overheadMillis(nowMillis),
				this.slotTime.millis());
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
	 */
	record Snapshot(double tokensPerMilli, double overheadMillis, double slotMillis) {
	}

}
