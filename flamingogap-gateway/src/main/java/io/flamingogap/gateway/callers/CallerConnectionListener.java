package io.flamingogap.gateway.callers;

/**
 * Receives the events of a caller's connection while a request is open on it.
 */
public interface CallerConnectionListener {

	/**
	 * Handle the end of the caller's connection.
	 */
	void onCallerDisconnected();

	/**
	 * Handle the caller's connection becoming writable again after its buffer was full.
	 */
	void onCallerWritable();

}
