package io.flamingogap.gateway.relay;

/**
 * Observes one dispatch to a server for the rollout of its service.
 */
public interface DispatchObservation {

	/** Observes nothing. */
	DispatchObservation NONE = new DispatchObservation() {
		@Override
		public void onAnswer(long nowMillis) {
		}

		@Override
		public void onFailure(long nowMillis) {
		}

		@Override
		public void discard() {
		}
	};

	/**
	 * Record that the server has answered: with the whole of a plain response or the
	 * first event of a stream.
	 * @param nowMillis the current time on the monotonic clock
	 */
	void onAnswer(long nowMillis);

	/**
	 * Record that the server failed and may have run the request.
	 * @param nowMillis the current time on the monotonic clock
	 */
	void onFailure(long nowMillis);

	/**
	 * Stop to wait for an answer, because the dispatch has ended. Has no effect after an
	 * answer or a failure.
	 */
	void discard();

}
