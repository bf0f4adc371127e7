/**
 * Rollouts: the gradual shift of traffic from one version of a service to another. Every
 * node decides for itself, and nodes with the same merged evidence decide the same. The
 * daemon uses {@link RolloutPolicy}, the gateway {@link TimedCanary}.
 */
@NullMarked
package io.flamingogap.core.rollout;

import org.jspecify.annotations.NullMarked;
