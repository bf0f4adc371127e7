package io.flamingogap.core.servers;

/**
 * Registered backend server, with its load, health, slowness and prompt cache as
 * estimated by this node.
 * <p>
 * Not thread-safe.
 */
public final class KnownServer {

	private static final long NOT_SUSPECT = Long.MAX_VALUE;

	private final ServerLoad load = new ServerLoad();

	private final ServerHealth health = new ServerHealth();

	private final ServerSlowness slowness = new ServerSlowness();

	private final PromptCacheEstimate promptCache = new PromptCacheEstimate();

	private int reportedSlots = Integer.MAX_VALUE;

	private ServerRegistration registration;

	private ServerRun run;

	private long suspectUntilMillis = NOT_SUSPECT;

	private boolean removed;

	KnownServer(ServerRegistration registration, ServerRun run) {
		this.registration = registration;
		this.run = run;
	}

	void update(ServerRegistration newRegistration, ServerRun newRun) {
		this.registration = newRegistration;
		this.run = newRun;
		this.suspectUntilMillis = NOT_SUSPECT;
	}

	void markSuspect(long untilMillis, long endOffset) {
		this.suspectUntilMillis = Math.min(this.suspectUntilMillis, untilMillis);
		this.run = this.run.end(endOffset);
	}

	/**
	 * Mark the server as suspect without an end of its registration, which the store may
	 * have lost.
	 * @param untilMillis the end of the grace period by a monotonic clock, in
	 * milliseconds
	 */
	void markMissing(long untilMillis) {
		this.suspectUntilMillis = Math.min(this.suspectUntilMillis, untilMillis);
	}

	void setRun(ServerRun newRun) {
		this.run = newRun;
	}

	void markRemoved() {
		this.removed = true;
	}

	boolean isGracePeriodOver(long nowMillis) {
		return nowMillis >= this.suspectUntilMillis;
	}

	/**
	 * Return whether the registration ended while the store was disrupted. The server may
	 * have stopped, or may be about to register again.
	 * @return {@code true} until it registers again or is removed
	 */
	public boolean isSuspect() {
		return this.suspectUntilMillis != NOT_SUSPECT;
	}

	/**
	 * Return whether the server may get new requests.
	 * @return {@code true} if it is in the table and hasn't said that it is leaving; a
	 * suspect server may get requests, too
	 */
	public boolean takesRequests() {
		return !this.removed && !this.run.departed();
	}

	/**
	 * Return whether the server may be sent a request at this moment.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if it takes requests and no pause that it asked for is active
	 */
	public boolean mayBeSentRequests(long nowMillis) {
		return takesRequests() && !this.run.pause().isActive(nowMillis);
	}

	/**
	 * Return the record that the server registered.
	 * @return the newest version
	 */
	public ServerRegistration registration() {
		return this.registration;
	}

	/**
	 * Record the number of slots that the server reported in an answer.
	 * @param slots the number; ignored unless positive
	 */
	public void recordReportedSlots(int slots) {
		if (slots > 0) {
			this.reportedSlots = slots;
		}
	}

	/**
	 * Return the number of requests that the server runs concurrently.
	 * @return the registered number, or the reported one if it is less
	 */
	public int slots() {
		return Math.min(this.registration.slots(), this.reportedSlots);
	}

	/**
	 * Return the estimated load of the server.
	 * @return the live estimate, updated by its callers
	 */
	public ServerLoad load() {
		return this.load;
	}

	/**
	 * Return the health of the server, estimated from the outcomes of requests.
	 * @return the live record, updated by its callers
	 */
	public ServerHealth health() {
		return this.health;
	}

	/**
	 * Return how much slower the server is than is usual in its service.
	 * @return the live estimate, updated by its callers
	 */
	public ServerSlowness slowness() {
		return this.slowness;
	}

	/**
	 * Return the estimate of the server's prompt cache.
	 * @return the live estimate, updated by its callers
	 */
	public PromptCacheEstimate promptCache() {
		return this.promptCache;
	}

	ServerRun run() {
		return this.run;
	}

}
