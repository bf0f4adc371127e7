/**
 * Applies the rollout decisions to requests and keeps the evidence.
 */
@NullMarked
package io.flamingogap.daemon.rollouts;

import org.jspecify.annotations.NullMarked;
