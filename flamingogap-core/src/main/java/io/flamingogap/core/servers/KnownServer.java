package io.flamingogap.core.servers;

/**
 * A registered backend server with what this node has seen of it.
 * <p>
 * Not safe for use by several threads.
 */
public final class KnownServer {

	private static final long NO_DOUBT = Long.MAX_VALUE;

	private final ServerLoad load = new ServerLoad();

	private final ServerHealth health = new ServerHealth();

	private final RecentPrompts prompts = new RecentPrompts();

	private ServerRegistration entry;

	private long revision;

	private long doubtUntilMillis = NO_DOUBT;

	private boolean gone;

	KnownServer(ServerRegistration entry, long revision) {
		this.entry = entry;
		this.revision = revision;
	}

	void update(ServerRegistration newEntry, long newRevision) {
		this.entry = newEntry;
		this.revision = newRevision;
		this.doubtUntilMillis = NO_DOUBT;
	}

	void doubtUntil(long untilMillis, long newRevision) {
		this.doubtUntilMillis = untilMillis;
		this.revision = newRevision;
	}

	void markGone() {
		this.gone = true;
	}

	boolean isExpired(long nowMillis) {
		return nowMillis >= this.doubtUntilMillis;
	}

	/**
	 * Return whether the registration ended while the store was disturbed.
	 * @return {@code true} if the server may be gone
	 */
	public boolean isSuspect() {
		return this.doubtUntilMillis != NO_DOUBT;
	}

	/**
	 * Return whether the server may get new requests.
	 * @return {@code true} if it is registered and not draining
	 */
	public boolean takesRequests() {
		return !this.gone && !this.entry.draining();
	}

	/**
	 * Return what the server says of itself.
	 * @return the newest entry
	 */
	public ServerRegistration registration() {
		return this.entry;
	}

	/**
	 * Return how loaded the server seems.
	 * @return the load
	 */
	public ServerLoad load() {
		return this.load;
	}

	/**
	 * Return how sound the server seems.
	 * @return the health
	 */
	public ServerHealth health() {
		return this.health;
	}

	/**
	 * Return the parts of prompts that the server read lately.
	 * @return the parts
	 */
	public RecentPrompts promptCache() {
		return this.prompts;
	}

	long revision() {
		return this.revision;
	}

}
