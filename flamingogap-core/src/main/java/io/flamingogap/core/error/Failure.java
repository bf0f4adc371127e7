package io.flamingogap.core.error;

import java.util.Objects;

/**
 * Failure of an attempt, with the step and the peer at which it occurred.
 *
 * @param type the problem type that callers receive
 * @param step the step that failed
 * @param peer the peer of the failed step: a node, a server, another service, or
 * {@code caller}
 * @param execution whether the attempt may have been executed
 * @param detail the cause, as a human-readable message
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
	 * Create a failure of an attempt that was not executed and never will be.
	 * @param type the problem type that callers receive
	 * @param step the step that failed
	 * @param peer the peer of the failed step
	 * @param detail the cause, as a human-readable message
	 * @return the failure
	 */
	public static Failure notRun(ProblemType type, Step step, String peer, String detail) {
		return new Failure(type, step, peer, Execution.NOT_RUN, detail);
	}

	/**
	 * Create a failure of an attempt that may have been executed.
	 * @param step the step that failed
	 * @param peer the peer of the failed step
	 * @param detail the cause, as a human-readable message
	 * @return the failure
	 */
	public static Failure outcomeUnknown(Step step, String peer, String detail) {
		return new Failure(ProblemType.OUTCOME_UNKNOWN, step, peer, Execution.UNKNOWN, detail);
	}

	/**
	 * Create a failure of an attempt that exceeded its deadline and may have been
	 * executed.
	 * @param step the step during which the deadline passed
	 * @param peer the peer of that step
	 * @param detail the cause, as a human-readable message
	 * @return the failure
	 */
	public static Failure deadlineExceeded(Step step, String peer, String detail) {
		return new Failure(ProblemType.DEADLINE_EXCEEDED, step, peer, Execution.UNKNOWN, detail);
	}

	@Override
	public String toString() {
		return this.step + " " + this.peer + ": " + this.type + ", execution " + this.execution + ": " + this.detail;
	}

}
