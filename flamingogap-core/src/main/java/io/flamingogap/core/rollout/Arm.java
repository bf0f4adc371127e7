package io.flamingogap.core.rollout;

/**
 * The two versions of a rollout.
 */
public enum Arm {

	/** The version in use. */
	CURRENT,
	/** The version that takes over. */
	CANDIDATE

}
