package io.flamingogap.core.rollout;

import java.util.Objects;

/**
 * Rollback: the final decision to end a rollout and return all traffic to the current
 * version.
 *
 * @param rollout the rollout that ended
 * @param by the operator who decided, or the node whose evidence showed a regression
 * @param reason the reason, with the counts behind it
 * @param atMillis the time of the decision, in milliseconds since 1970 UTC
 */
public record TakeBack(RolloutKey rollout, String by, String reason, long atMillis) {

	public TakeBack {
		Objects.requireNonNull(rollout, "rollout must not be null");
		Objects.requireNonNull(by, "by must not be null");
		Objects.requireNonNull(reason, "reason must not be null");
	}

	/**
	 * Return whether this decision takes precedence over another one about the same
	 * rollout. The earlier one does; of two at the same time, the one whose author comes
	 * first in the order of strings.
	 * @param other a decision about the same rollout
	 * @return {@code true} if it does; {@code false} if both have the same time and
	 * author
	 */
	public boolean precedes(TakeBack other) {
		return (this.atMillis != other.atMillis) ? this.atMillis < other.atMillis : this.by.compareTo(other.by) < 0;
	}

}
