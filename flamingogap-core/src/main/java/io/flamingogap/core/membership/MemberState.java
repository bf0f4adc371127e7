package io.flamingogap.core.membership;

/**
 * What an entry node says of its own life. States only advance.
 */
public enum MemberState {

	/** Takes new requests. */
	SERVING,
	/** Left out of entry answers; still takes the requests that reach it. */
	DRAINING,
	/** Has passed its keys on. */
	HANDED_OVER,
	/** Has stopped. */
	GONE

}
