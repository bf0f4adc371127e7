package io.flamingogap.core.quota;

import java.util.function.LongConsumer;

/**
 * Connects a node to the other nodes that share the quotas.
 */
public interface QuotaPeers {

	/**
	 * Send a message, without any guarantee that it arrives.
	 * @param node the name of the receiver
	 * @param message the message
	 */
	void send(String node, QuotaMessage message);

	/**
	 * Run a task later.
	 * @param delayMillis the delay in milliseconds
	 * @param task receives the time at which it runs, in milliseconds of the monotonic
	 * clock
	 */
	void schedule(long delayMillis, LongConsumer task);

}
