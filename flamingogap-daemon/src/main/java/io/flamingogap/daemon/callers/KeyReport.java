package io.flamingogap.daemon.callers;

import java.util.Locale;

import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.RequestKey;

/**
 * What is known of a keyed request.
 *
 * @param key the key
 * @param state accepted, dispatched, done, not_run, unknown, or absent if its owner holds
 * nothing of it
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
