package io.flamingogap.core.rollout;

/**
 * The phase of a rollout.
 */
public enum RolloutPhase {

	/** Before its start. */
	WAITING,
	/** A small share tells whether the candidate is good. */
	EXPLORING,
	/** The share rises with the evidence. */
	MOVING,
	/** All traffic has moved. */
	DONE,
	/** The deadline passed before the evidence allowed all traffic to move. */
	LATE,
	/** The candidate is bad or an operator took it back. */
	TAKEN_BACK

}
