package io.flamingogap.gateway.backends;

import org.jspecify.annotations.Nullable;

/**
 * A handle on a request to a backend server, with which the sender can cancel the request
 * or pause its response.
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
	 * Cancel the request and close its connection. The listener is not called any more.
	 */
	public void cancel() {
		this.cancelled = true;
		if (this.connection != null) {
			this.connection.cancel();
		}
	}

	/**
	 * Set whether the response is read from the network. Disable it while the caller
	 * reads more slowly than the server sends.
	 * @param enabled {@code false} to leave the response in the socket buffer
	 */
	public void setAutoRead(boolean enabled) {
		if (this.connection != null) {
			this.connection.setAutoRead(enabled);
		}
	}

	/**
	 * Return whether bytes of the request may have been sent.
	 * @return {@code false} until a connection is open
	 */
	public boolean mayHaveBeenSent() {
		return this.connection != null;
	}

}
