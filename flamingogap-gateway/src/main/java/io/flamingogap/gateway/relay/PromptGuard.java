package io.flamingogap.gateway.relay;

import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.ServerRegistration;

/**
 * Learns from what servers do while they answer prompts.
 */
public interface PromptGuard {

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

}
