package io.flamingogap.gateway.relay;

import java.util.OptionalLong;

import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.ServerRegistration;

/**
 * Stops requests whose prompts crash the servers that begin to answer them, and learns
 * which ones do from what happens to servers.
 */
public interface PromptGuard {

	/**
	 * Return how long a request has to wait, or let it through. Called once for each
	 * request, when it is admitted.
	 * @param service the service that the request is for
	 * @param prompt its prompt
	 * @return the time in milliseconds; empty if the request is let through
	 */
	OptionalLong admit(String service, PromptMetadata prompt);

	/**
	 * Return whether an admitted request has been stopped since.
	 * @param service the service that the request is for
	 * @param prompt its prompt
	 * @return {@code true} if no server may be sent the request
	 */
	boolean isQuarantined(String service, PromptMetadata prompt);

	/**
	 * Follow a dispatch whose answer hasn't begun, so that it can be cancelled when its
	 * prompt is quarantined.
	 * @param dispatch the dispatch
	 */
	void track(UnansweredPrompt dispatch);

	/**
	 * Stop following a dispatch.
	 * @param dispatch the dispatch, which may be unknown
	 */
	void untrack(UnansweredPrompt dispatch);

	/**
	 * Record that a server survived beginning to answer a prompt.
	 * @param server the registration of the run that answers
	 * @param prompt the prompt, which has shared parts
	 */
	void recordSurvival(ServerRegistration server, PromptMetadata prompt);

	/**
	 * Record that the connection to a server broke before it was known that the server
	 * survives to answer a prompt.
	 * @param server the registration of the run that the request was sent to
	 * @param prompt the prompt, which has shared parts
	 */
	void recordBroken(ServerRegistration server, PromptMetadata prompt);

	/**
	 * A dispatch of a prompt whose answer hasn't begun.
	 */
	interface UnansweredPrompt {

		/**
		 * Return the service that the request is for.
		 * @return the name of the service
		 */
		String service();

		/**
		 * Return the prompt of the request.
		 * @return the prompt
		 */
		PromptMetadata prompt();

		/**
		 * Cancel the dispatch, since its prompt was quarantined.
		 */
		void cancel();

	}

}
