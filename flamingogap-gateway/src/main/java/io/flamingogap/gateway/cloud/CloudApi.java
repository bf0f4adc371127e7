package io.flamingogap.gateway.cloud;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.flamingogap.core.fleet.ServerPlan;

/**
 * The cloud's calls that only the holder of the duties makes. Results arrive on the event
 * loop.
 */
public interface CloudApi {

	/**
	 * Report the requests of a window.
	 * @param token the fencing token
	 * @param window the number of the window
	 * @param requests requests by account
	 * @return what became of the call
	 */
	CompletableFuture<Verdict> reportUsage(long token, long window, Map<String, Long> requests);

	/**
	 * Order servers.
	 * @param token the fencing token
	 * @param plan the servers that a zone should have
	 * @return what became of the call
	 */
	CompletableFuture<Verdict> orderServers(long token, ServerPlan plan);

	/**
	 * What became of a call.
	 */
	enum Verdict {

		/** It took effect. */
		ACCEPTED,

		/** A higher fencing token was seen. */
		FENCED,

		/** No such servers are to be had at the moment. */
		NONE_AVAILABLE,

		/** Nothing was done. */
		REFUSED,

		/** No answer came; the call may take effect, now or later. */
		UNKNOWN

	}

}
