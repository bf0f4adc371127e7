package io.flamingogap.core.servers;

/**
 * What a record of a server changed in the {@link ServerTable}.
 */
public enum RegistrationOutcome {

	/** Nothing: the record is the known one, or the store accepted it before that. */
	KNOWN,

	/**
	 * Nothing: the store accepted the record later than the known one, but the server had
	 * written it earlier, or had departed.
	 */
	OUTDATED,

	/** The record is newer and says nothing new of the run or its departure. */
	REFRESHED,

	/**
	 * The server is new, has restarted or has another address, was suspect, or began to
	 * drain.
	 */
	CHANGED

}
