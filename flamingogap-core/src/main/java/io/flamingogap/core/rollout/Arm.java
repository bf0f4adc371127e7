package io.flamingogap.core.rollout;

/**
 * Arm of the comparison between the two versions of a rollout.
 */
public enum Arm {

	/** The version in use before the rollout. */
	CURRENT,
	/** The version that is to replace it. */
	CANDIDATE

}
