package io.flamingogap.core.servers;

import java.util.Map;

/**
 * What a node knows of the entry nodes that share the rate of cold servers.
 *
 * @param zonesByMember the other nodes that accept requests, with their zones
 * @param asOfMillis when the store last confirmed the members, by the monotonic clock of
 * this node, in milliseconds
 * @param serving whether this node accepts requests
 * @param reportSubmittedAtMillis when this node submitted the newest of its reports that
 * the store has accepted and that says that it accepts requests, by the same clock;
 * {@link #NEVER} if there is none
 */
public record ColdStartView(Map<String, String> zonesByMember, long asOfMillis, boolean serving,
		long reportSubmittedAtMillis) {

	/** No report was accepted. */
	public static final long NEVER = Long.MIN_VALUE / 2;

	public ColdStartView {
		zonesByMember = Map.copyOf(zonesByMember);
	}

}
