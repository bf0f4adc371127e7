package io.flamingogap.gateway.peers;

import java.util.concurrent.CompletableFuture;

/**
 * Accepts reports of nodes that may reach the store with a short delay, together with
 * others.
 */
public interface ReportSink {

	/**
	 * Submit a report.
	 * @param key the key of its record
	 * @param value the encoded report
	 * @return completes with the offset of a record that was appended in the same call
	 */
	CompletableFuture<Long> submit(String key, byte[] value);

}
