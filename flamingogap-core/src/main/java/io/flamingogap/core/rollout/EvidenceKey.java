package io.flamingogap.core.rollout;

import java.util.Objects;

import io.flamingogap.core.node.NodeId;

/**
 * Identity of a row of evidence: which requests it counts.
 *
 * @param rollout the rollout that the requests were part of
 * @param node the run of the node that counted them
 * @param arm the version that they were sent to
 * @param route the route, or the path of a model service
 * @param period the number of the time period since the start of the rollout, from 0
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
