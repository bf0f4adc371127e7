package io.flamingogap.gateway.relay;

import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.ServerRegistration;

/**
 * Follows one dispatch of a prompt until it is known whether the server survives to
 * answer it. Does nothing for requests without shared prompt parts.
 */
final class AnswerProgress implements PromptGuard.UnansweredPrompt {

	/**
	 * How long a server has to send events until it counts as having survived. A server
	 * that crashes when it begins to answer may still send the first ones.
	 */
	private static final long SURVIVAL_MILLIS = 500;

	private final PromptGuard guard;

	private final ServerRegistration server;

	private final PromptMetadata prompt;

	private final Runnable canceller;

	private long firstEventAtMillis = Long.MIN_VALUE;

	/** Set once nothing more is to be learnt from this dispatch. */
	private boolean settled;

	/**
	 * Create the progress of a dispatch that isn't sent yet.
	 * @param guard learns what happens
	 * @param server the server
	 * @param prompt the prompt
	 * @param canceller cancels the dispatch if its prompt is quarantined
	 */
	AnswerProgress(PromptGuard guard, ServerRegistration server, PromptMetadata prompt, Runnable canceller) {
		this.guard = guard;
		this.server = server;
		this.prompt = prompt;
		this.canceller = canceller;
		this.settled = prompt.sharedPrefix().isEmpty();
	}

	/**
	 * Record that the dispatch begins.
	 */
	void recordDispatch() {
		if (!this.settled) {
			this.guard.track(this);
		}
	}

	/**
	 * Record that events of the answer have arrived.
	 * @param nowMillis the current time on the monotonic clock, in milliseconds
	 */
	void recordEvents(long nowMillis) {
		if (this.settled) {
			return;
		}
		if (!hasBegun()) {
			this.firstEventAtMillis = nowMillis;
			this.guard.untrack(this);
		}
		else if (nowMillis - this.firstEventAtMillis >= SURVIVAL_MILLIS) {
			settle();
			this.guard.recordSurvival(this.server, this.prompt);
		}
	}

	/**
	 * Record that the answer is complete and a success.
	 */
	void recordCompletion() {
		if (!this.settled) {
			settle();
			this.guard.recordSurvival(this.server, this.prompt);
		}
	}

	/**
	 * Record that the connection broke.
	 */
	void recordBroken() {
		if (!this.settled) {
			settle();
			this.guard.recordBroken(this.server, this.prompt);
		}
	}

	/**
	 * Learn nothing more from the dispatch, because it has ended. Has no effect if
	 * something was learnt from it.
	 */
	void settle() {
		if (!this.settled) {
			this.settled = true;
			this.guard.untrack(this);
		}
	}

	/**
	 * Return whether events of the answer have arrived.
	 * @return {@code false} before the first one, and without shared prompt parts
	 */
	boolean hasBegun() {
		return this.firstEventAtMillis != Long.MIN_VALUE;
	}

	@Override
	public String service() {
		return this.server.service();
	}

	@Override
	public PromptMetadata prompt() {
		return this.prompt;
	}

	@Override
	public void cancel() {
		this.canceller.run();
	}

}
