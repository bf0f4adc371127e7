package io.flamingogap.gateway.cloud;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.flamingogap.core.fleet.ServerPlan;

/**
 * Calls to the cloud, made only by the node that holds the duties. Futures complete on
 * the event loop.
 */
public interface CloudApi {

	/**
	 * Report the usage of a window.
	 * @param token the fencing token of the holder
	 * @param window the number of the window
	 * @param requests the number of requests by account
	 * @return the outcome of the call
	 */
	CompletableFuture<Verdict> reportUsage(long token, long window, Map<String, Long> requests);

	/**
	 * Set the number of servers that a service should have in a zone. The cloud starts
	 * the missing servers or releases the surplus ones.
	 * @param token the fencing token of the holder
	 * @param plan the number of servers of one kind in one zone
	 * @return the outcome of the call
	 */
	CompletableFuture<Verdict> orderServers(long token, ServerPlan plan);

	/**
	 * End all calls in progress, so that none of them reaches the cloud later. Their
	 * outcome is {@link Verdict#UNKNOWN}.
	 */
	void abortCalls();

	/**
	 * Outcomes of a call.
	 */
	enum Verdict {

		/** The call took effect. */
		ACCEPTED,

		/** The cloud has already seen a higher fencing token. */
		FENCED,

		/** The cloud has no such servers now. */
		NONE_AVAILABLE,

		/** The call had no effect. */
		REFUSED,

		/** No answer arrived; the call may take effect, now or later. */
		UNKNOWN

	}

}
