/**
 * Tests of the rollout decisions and of their evidence.
 */
@NullMarked
package io.flamingogap.core.rollout;

import org.jspecify.annotations.NullMarked;
