package io.flamingogap.gateway.relay;

import io.flamingogap.core.servers.ServerRegistration;

/**
 * Follows one dispatch of a request until it is known whether the server survives to
 * answer it.
 */
final class AnswerProgress implements RequestGuard.UnansweredRequest {

	/**
	 * How long a server has to send events until it counts as having survived. A server
	 * that crashes when it begins to answer may still send the first ones.
	 */
	private static final long SURVIVAL_MILLIS = 500;

	private final RequestGuard guard;

	private final ServerRegistration server;

	private final GuardedRequest request;

	private final Runnable canceller;

	private long firstEventAtMillis = Long.MIN_VALUE;

	/** Set once nothing more is to be learnt from this dispatch. */
	private boolean settled;

	/**
	 * Create the progress of a dispatch that isn't sent yet.
	 * @param guard learns what happens
	 * @param server the server
	 * @param request the request
	 * @param canceller cancels the dispatch if its request is quarantined
	 */
	AnswerProgress(RequestGuard guard, ServerRegistration server, GuardedRequest request, Runnable canceller) {
		this.guard = guard;
		this.server = server;
		this.request = request;
		this.canceller = canceller;
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
			this.guard.recordSurvival(this.server, this.request);
		}
	}

	/**
	 * Record that the answer is complete and a success.
	 */
	void recordCompletion() {
		if (!this.settled) {
			settle();
			this.guard.recordSurvival(this.server, this.request);
		}
	}

	/**
	 * Record that the connection broke.
	 */
	void recordBroken() {
		if (!this.settled) {
			settle();
			this.guard.recordBroken(this.server, this.request);
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
	 * @return {@code false} before the first one
	 */
	boolean hasBegun() {
		return this.firstEventAtMillis != Long.MIN_VALUE;
	}

	@Override
	public GuardedRequest request() {
		return this.request;
	}

	@Override
	public void cancel() {
		this.canceller.run();
	}

}
