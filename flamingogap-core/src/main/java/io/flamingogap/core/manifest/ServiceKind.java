package io.flamingogap.core.manifest;

/**
 * Kind of backend servers that run a service.
 */
public enum ServiceKind {

	/** Language model: answers are token streams, and every request is repeatable. */
	MODEL,
	/** Plain service: each route defines whether its requests are repeatable. */
	PLAIN

}
