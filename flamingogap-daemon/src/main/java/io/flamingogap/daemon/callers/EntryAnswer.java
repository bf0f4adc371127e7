package io.flamingogap.daemon.callers;

import java.util.List;

import io.flamingogap.core.entry.EntryEndpoint;

/**
 * The answer to an entry request.
 *
 * @param ttlMillis how long the caller may keep it
 * @param nodes the entry nodes, in the order in which to try them
 */
record EntryAnswer(long ttlMillis, List<Node> nodes) {

	static EntryAnswer of(List<EntryEndpoint> points, long ttlMillis) {
		return new EntryAnswer(ttlMillis,
				points.stream()
					.map((point) -> new Node(point.address().toString(), point.zone(), point.keyPrefix()))
					.toList());
	}

	/**
	 * One entry node.
	 *
	 * @param address the IP number and port
	 * @param zone the availability zone
	 * @param keyPrefix what idempotency keys for this node begin with
	 */
	record Node(String address, String zone, String keyPrefix) {
	}

}
