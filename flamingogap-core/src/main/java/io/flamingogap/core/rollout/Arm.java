package io.flamingogap.core.rollout;

/**
 * One of the two versions that a rollout compares.
 */
public enum Arm {

	/** The version in use before the rollout. */
	CURRENT,
	/** The version that is to replace it. */
	CANDIDATE

}
