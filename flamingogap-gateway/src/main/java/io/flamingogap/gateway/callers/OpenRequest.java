package io.flamingogap.gateway.callers;

/**
 * A request that is open, as the caller's connection sees it.
 */
public interface OpenRequest {

	/**
	 * The caller has left.
	 */
	void callerLeft();

	/**
	 * The caller reads again after it was slow.
	 */
	void callerReads();

}
