package io.flamingogap.core.error;

/**
 * Whether a failed attempt may have been executed by a backend server.
 */
public enum Execution {

	/** The attempt was not executed and never will be. */
	NOT_RUN("not-run"),
	/** The attempt may have been executed; callers can look up its idempotency key. */
	UNKNOWN("unknown");

	private final String wireName;

	Execution(String wireName) {
		this.wireName = wireName;
	}

	/**
	 * Return the value that problem documents for callers carry.
	 * @return the name, which never changes
	 */
	public String wireName() {
		return this.wireName;
	}

}
