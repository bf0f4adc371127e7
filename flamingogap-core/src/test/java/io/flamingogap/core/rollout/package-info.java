/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.rollout;

import org.jspecify.annotations.NullMarked;
