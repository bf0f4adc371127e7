package io.flamingogap.testkit.net;

/**
 * What a {@link FaultyLink} does with bytes.
 */
public enum LinkMode {

	/** Passes everything. */
	PASS,
	/** Closes open connections and every new one. */
	CUT,
	/** Refuses connections, as a port on which nothing listens, and closes open ones. */
	REFUSE,
	/** Passes nothing in either direction and closes nothing. */
	SILENT,
	/** Passes nothing towards the server. */
	DROP_REQUESTS,
	/** Passes nothing from the server. */
	DROP_REPLIES

}
