package io.flamingogap.core.manifest;

/**
 * What kind of backend server answers for a service.
 */
public enum ServiceKind {

	/** A language model; answers are token streams and every call is repeatable. */
	MODEL,
	/** A plain service; each route says whether its calls are repeatable. */
	PLAIN

}
