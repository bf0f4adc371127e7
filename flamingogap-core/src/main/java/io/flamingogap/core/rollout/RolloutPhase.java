package io.flamingogap.core.rollout;

/**
 * Phase of a rollout as one node sees it.
 */
public enum RolloutPhase {

	/** The start time has not been reached. */
	WAITING,
	/** The candidate gets a small share, to collect evidence. */
	EXPLORING,
	/** The share of the candidate rises with the evidence. */
	MOVING,
	/** All traffic goes to the candidate. */
	DONE,
	/** The deadline passed before the evidence allowed all traffic to move. */
	LATE,
	/** The rollout was ended by an operator, or because the candidate is worse. */
	TAKEN_BACK

}
