package io.flamingogap.core.rollout;

import java.util.Objects;

import io.flamingogap.core.node.NodeId;

/**
 * What a row of evidence counts.
 *
 * @param rollout the rollout
 * @param node the node run that counted
 * @param arm the version
 * @param route the route, or the model's path
 * @param period the number of the time period since the start of the rollout
 */
public record EvidenceKey(RolloutKey rollout, NodeId node, Arm arm, String route, int period) {

	public EvidenceKey {
		Objects.requireNonNull(rollout, "rollout must not be null");
		Objects.requireNonNull(node, "node must not be null");
		Objects.requireNonNull(arm, "arm must not be null");
		Objects.requireNonNull(route, "route must not be null");
		if (period < 0) {
			throw new IllegalArgumentException("period must not be negative but was " + period);
		}
	}

}
