package io.flamingogap.daemon.callers;

import java.util.List;

import io.flamingogap.core.entry.EntryEndpoint;

/**
 * JSON document that lists entry nodes for a caller.
 *
 * @param ttlMillis how long the caller may use the answer, in milliseconds
 * @param nodes the entry nodes, in the order in which the caller should try them
 */
record EntryAnswer(long ttlMillis, List<Node> nodes) {

	static EntryAnswer of(List<EntryEndpoint> endpoints, long ttlMillis) {
		return new EntryAnswer(ttlMillis,
				endpoints.stream()
					.map((endpoint) -> new Node(endpoint.address().toString(), endpoint.zone(), endpoint.keyPrefix()))
					.toList());
	}

	/**
	 * Entry node as listed for a caller.
	 *
	 * @param address the IP address and port for callers
	 * @param zone the availability zone
	 * @param keyPrefix the prefix of idempotency keys that this node owns
	 */
	record Node(String address, String zone, String keyPrefix) {
	}

}
