package io.flamingogap.core.rollout;

import java.util.Objects;

/**
 * The decision to end a rollout in favour of the version in use. It is final.
 *
 * @param rollout the rollout
 * @param by the operator, or the node that saw the evidence
 * @param reason why, with the figures
 * @param atMillis when, in milliseconds since 1970 UTC
 */
public record TakeBack(RolloutKey rollout, String by, String reason, long atMillis) {

	public TakeBack {
		Objects.requireNonNull(rollout, "rollout must not be null");
		Objects.requireNonNull(by, "by must not be null");
		Objects.requireNonNull(reason, "reason must not be null");
	}

	/**
	 * Return whether this one is shown rather than another one of the same rollout.
	 * @param other the other one
	 * @return {@code true} if it is the earlier one
	 */
	public boolean precedes(TakeBack other) {
		return (this.atMillis != other.atMillis) ? this.atMillis < other.atMillis : this.by.compareTo(other.by) < 0;
	}

}
