package io.flamingogap.gateway.memory;

/**
 * Holds bytes in memory for a request or a caller.
 */
public interface BytesHolder {

	/**
	 * Give up the bytes that are held, because the node holds too many.
	 */
	void releaseBytes();

}
