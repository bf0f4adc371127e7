/**
 * Applies rollout decisions to requests and collects the evidence for them.
 */
@NullMarked
package io.flamingogap.daemon.rollouts;

import org.jspecify.annotations.NullMarked;
