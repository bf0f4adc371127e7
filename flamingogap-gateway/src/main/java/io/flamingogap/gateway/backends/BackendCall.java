package io.flamingogap.gateway.backends;

import org.jspecify.annotations.Nullable;

/**
 * A request at a backend server, for the side that waits for the answer.
 */
public final class BackendCall {

	private @Nullable BackendConnection connection;

	private boolean cancelled;

	void attach(BackendConnection attached) {
		this.connection = attached;
	}

	boolean isCancelled() {
		return this.cancelled;
	}

	/**
	 * Give the request up. The listener hears nothing more.
	 */
	public void cancel() {
		this.cancelled = true;
		if (this.connection != null) {
			this.connection.cancel();
		}
	}

	/**
	 * Read the answer, or leave it in the network while the caller is slow.
	 * @param read whether to read
	 */
	public void setReading(boolean read) {
		if (this.connection != null) {
			this.connection.setReading(read);
		}
	}

	/**
	 * Return whether bytes may have been sent.
	 * @return {@code false} while the connection is being opened
	 */
	public boolean isSent() {
		return this.connection != null;
	}

}
