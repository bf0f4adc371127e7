package io.flamingogap.gateway.peers;

import java.util.concurrent.CompletableFuture;

/**
 * Accepts node reports. May delay a report for a short time to append it to the store
 * together with others.
 */
public interface ReportSink {

	/**
	 * Submit a report.
	 * @param key the key of its record
	 * @param value the encoded report
	 * @return completes when the report is appended, with its offset or that of the first
	 * record of its batch
	 */
	CompletableFuture<Long> submit(String key, byte[] value);

}
