package io.flamingogap.core.request;

import java.nio.charset.StandardCharsets;

import io.flamingogap.core.node.NodeId;

/**
 * Keys, requests and limits shared by the tests of {@link RequestLedger}.
 */
final class LedgerFixtures {

	static final long FIRST_USE_MILLIS = 1_000;

	static final long RETENTION_MILLIS = 5_000;

	static final LedgerLimits LIMITS = new LedgerLimits(1_000, 1_000_000, FIRST_USE_MILLIS, RETENTION_MILLIS, 100);

	static final Answer ANSWER = new Answer(201, "application/json", "{}".getBytes(StandardCharsets.UTF_8));

	private LedgerFixtures() {
	}

	static NodeId node(int number) {
		return new NodeId("node-" + number, number);
	}

	static RequestKey key(NodeId issuer, long issuedAtMillis, int number) {
		return new RequestKey(issuer, issuedAtMillis, "caller-part-" + number);
	}

	static KeyedRequest request(RequestKey key) {
		return request(key, "{\"lot\":1}");
	}

	static KeyedRequest request(RequestKey key, String body) {
		return new KeyedRequest(key, "buyers", "POST", "/services/desk/bookings", "application/json",
				body.getBytes(StandardCharsets.UTF_8), Long.MAX_VALUE);
	}

}
