package io.flamingogap.gateway.peers;

import java.util.concurrent.CompletableFuture;

/**
 * Takes reports of nodes that may reach the store a little later, together with others.
 */
public interface ReportSink {

	/**
	 * Take a report.
	 * @param key the key of its record
	 * @param value the report
	 * @return the offset of a record that was appended with it
	 */
	CompletableFuture<Long> offer(String key, byte[] value);

}
