package io.flamingogap.gateway.relay;

import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.ServerRegistration;

/**
 * Follows one dispatch of a prompt until it is known whether the server survives to
 * answer it. Does nothing for requests without shared prompt parts.
 */
final class AnswerProgress {

	/**
	 * How long a server has to send events until it counts as having survived. A server
	 * that crashes when it begins to answer may still send the first ones.
	 */
	private static final long SURVIVAL_MILLIS = 500;

	private final PromptGuard guard;

	private final ServerRegistration server;

	private final PromptMetadata prompt;

	private long firstEventAtMillis = Long.MIN_VALUE;

	/** Set once nothing more is to be learnt from this dispatch. */
	private boolean settled;

	AnswerProgress(PromptGuard guard, ServerRegistration server, PromptMetadata prompt) {
		this.guard = guard;
		this.server = server;
		this.prompt = prompt;
		this.settled = prompt.sharedPrefix().isEmpty();
	}

	/**
	 * Record that events of the answer have arrived.
	 * @param nowMillis the current time on the monotonic clock, in milliseconds
	 */
	void recordEvents(long nowMillis) {
		if (this.settled) {
			return;
		}
		if (this.firstEventAtMillis == Long.MIN_VALUE) {
			this.firstEventAtMillis = nowMillis;
		}
		else if (nowMillis - this.firstEventAtMillis >= SURVIVAL_MILLIS) {
			recordSurvival();
		}
	}

	/**
	 * Record that the answer is complete and a success.
	 */
	void recordCompletion() {
		if (!this.settled) {
			recordSurvival();
		}
	}

	private void recordSurvival() {
		this.settled = true;
		this.guard.recordSurvival(this.server, this.prompt);
	}

	/**
	 * Record that the connection broke.
	 */
	void recordBroken() {
		if (!this.settled) {
			this.settled = true;
			this.guard.recordBroken(this.server, this.prompt);
		}
	}

	/**
	 * Return whether events of the answer have arrived.
	 * @return {@code false} before the first one, and without shared prompt parts
	 */
	boolean hasBegun() {
		return this.firstEventAtMillis != Long.MIN_VALUE;
	}

}
