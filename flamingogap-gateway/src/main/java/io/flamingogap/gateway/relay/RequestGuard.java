package io.flamingogap.gateway.relay;

import java.util.OptionalLong;

import io.flamingogap.core.servers.ServerRegistration;

/**
 * Stops requests that crash the servers that begin to answer them, and learns which ones
 * do from what happens to servers.
 */
public interface RequestGuard {

	/**
	 * Return how long a request has to wait, or let it through. Called once for each
	 * request, when it is admitted.
	 * @param request the request
	 * @return the time in milliseconds; empty if the request is let through
	 */
	OptionalLong admit(GuardedRequest request);

	/**
	 * Return whether an admitted request has been stopped since.
	 * @param request the request
	 * @return {@code true} if no server may be sent the request
	 */
	boolean isQuarantined(GuardedRequest request);

	/**
	 * Return whether one more crash would stop a request.
	 * @param request the request, whose connection to a server broke
	 * @return {@code true} if it should not be sent to another server before it is known
	 * whether this one has crashed
	 */
	boolean isNearlyQuarantined(GuardedRequest request);

	/**
	 * Follow a dispatch whose answer hasn't begun, so that it can be cancelled when its
	 * request is quarantined.
	 * @param dispatch the dispatch
	 */
	void track(UnansweredRequest dispatch);

	/**
	 * Stop following a dispatch.
	 * @param dispatch the dispatch, which may be unknown
	 */
	void untrack(UnansweredRequest dispatch);

	/**
	 * Record that a server survived beginning to answer a request.
	 * @param server the registration of the run that answers
	 * @param request the request
	 */
	void recordSurvival(ServerRegistration server, GuardedRequest request);

	/**
	 * Record that the connection to a server broke before it was known that the server
	 * survives to answer a request.
	 * @param server the registration of the run that the request was sent to
	 * @param request the request
	 */
	void recordBroken(ServerRegistration server, GuardedRequest request);

	/**
	 * A dispatch of a request whose answer hasn't begun.
	 */
	interface UnansweredRequest {

		/**
		 * Return the request.
		 * @return the request
		 */
		GuardedRequest request();

		/**
		 * Cancel the dispatch, since its request was quarantined.
		 */
		void cancel();

	}

}
