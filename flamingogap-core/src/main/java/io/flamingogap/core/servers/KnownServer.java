package io.flamingogap.core.servers;

/**
 * Registered backend server, with its load, health and prompt cache as estimated by this
 * node.
 * <p>
 * Not safe for use by several threads.
 */
public final class KnownServer {

	private static final long NOT_SUSPECT = Long.MAX_VALUE;

	private final ServerLoad load = new ServerLoad();

	private final ServerHealth health = new ServerHealth();

	private final PromptCacheEstimate promptCache = new PromptCacheEstimate();

	private ServerRegistration registration;

	private long revision;

	private long suspectUntilMillis = NOT_SUSPECT;

	private boolean removed;

	KnownServer(ServerRegistration registration, long revision) {
		this.registration = registration;
		this.revision = revision;
	}

	void update(ServerRegistration newRegistration, long newRevision) {
		this.registration = newRegistration;
		this.revision = newRevision;
		this.suspectUntilMillis = NOT_SUSPECT;
	}

	void markSuspect(long untilMillis, long newRevision) {
		this.suspectUntilMillis = untilMillis;
		this.revision = newRevision;
	}

	void markRemoved() {
		this.removed = true;
	}

	boolean isExpired(long nowMillis) {
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
	 * @return {@code true} if it is in the table, suspect or not, and isn't draining
	 */
	public boolean takesRequests() {
		return !this.removed && !this.registration.draining();
	}

	/**
	 * Return the record that the server registered.
	 * @return the newest version
	 */
	public ServerRegistration registration() {
		return this.registration;
	}

	/**
	 * Return the estimated load of the server.
	 * @return the live estimate, updated by its callers
	 */
	public ServerLoad load() {
		return this.load;
	}

	/**
	 * Return the health of the server, by the outcome of requests.
	 * @return the live record, updated by its callers
	 */
	public ServerHealth health() {
		return this.health;
	}

	/**
	 * Return the prompt parts that the server probably has cached.
	 * @return the live estimate, updated by its callers
	 */
	public PromptCacheEstimate promptCache() {
		return this.promptCache;
	}

	long revision() {
		return this.revision;
	}

}
