package io.flamingogap.core.error;

import java.util.Objects;

/**
 * A failure with the step and the peer at which it arose.
 *
 * @param type the stable problem type
 * @param step the step that failed
 * @param peer the other side of the step
 * @param execution what is known about the execution of this attempt
 * @param detail what happened, for people
 */
public record Failure(ProblemType type, Step step, String peer, Execution execution, String detail) {

	public Failure {
		Objects.requireNonNull(type, "type must not be null");
		Objects.requireNonNull(step, "step must not be null");
		Objects.requireNonNull(peer, "peer must not be null");
		Objects.requireNonNull(execution, "execution must not be null");
		Objects.requireNonNull(detail, "detail must not be null");
	}

	/**
	 * Create a failure of an attempt that caused no execution and never will.
	 * @param type the stable problem type
	 * @param step the step that failed
	 * @param peer the other side of the step
	 * @param detail what happened
	 * @return the failure
	 */
	public static Failure notRun(ProblemType type, Step step, String peer, String detail) {
		return new Failure(type, step, peer, Execution.NOT_RUN, detail);
	}

	/**
	 * Create a failure of an attempt that may have been executed.
	 * @param step the step that failed
	 * @param peer the other side of the step
	 * @param detail what happened
	 * @return the failure
	 */
	public static Failure outcomeUnknown(Step step, String peer, String detail) {
		return new Failure(ProblemType.OUTCOME_UNKNOWN, step, peer, Execution.UNKNOWN, detail);
	}

	/**
	 * Create a failure of an attempt that ran out of time and may have been executed.
	 * @param step the step that failed
	 * @param peer the other side of the step
	 * @param detail what happened
	 * @return the failure
	 */
	public static Failure deadlineExceeded(Step step, String peer, String detail) {
		return new Failure(ProblemType.DEADLINE_EXCEEDED, step, peer, Execution.UNKNOWN, detail);
	}

	@Override
	public String toString() {
		return this.step + " " + this.peer + ": " + this.detail;
	}

}
