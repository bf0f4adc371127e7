package io.flamingogap.daemon.callers;

import java.util.Locale;

import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.RequestKey;

/**
 * JSON document that describes the state of a keyed request.
 *
 * @param key the idempotency key
 * @param state {@code accepted}, {@code dispatched}, {@code done}, {@code not_run},
 * {@code unknown}, or {@code absent} if the owner has no entry for the key
 * @param owner the node that owns the key
 */
record KeyReport(String key, String state, String owner) {

	static final String ABSENT = "ABSENT";

	static KeyReport of(RequestKey key, String state, NodeId owner) {
		return new KeyReport(key.toString(), state.toLowerCase(Locale.ROOT), owner.toString());
	}

	static KeyReport unknown(RequestKey key, NodeId owner) {
		return new KeyReport(key.toString(), "unknown", owner.toString());
	}

}
