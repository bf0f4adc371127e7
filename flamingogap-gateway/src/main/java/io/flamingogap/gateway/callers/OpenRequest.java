package io.flamingogap.gateway.callers;

/**
 * A request that is open, as the caller's connection sees it.
 */
public interface OpenRequest {

	/**
	 * The caller has left.
	 */
	void onCallerDisconnected();

	/**
	 * The caller reads again after it was slow.
	 */
	void onCallerWritable();

}
