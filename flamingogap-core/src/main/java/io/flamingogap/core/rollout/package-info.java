/**
 * Moves of traffic between versions, decided alike at every node from merged evidence.
 */
@NullMarked
package io.flamingogap.core.rollout;

import org.jspecify.annotations.NullMarked;
