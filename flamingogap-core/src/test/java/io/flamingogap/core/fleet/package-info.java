/**
 * Tests of the fleet view, the fleet clock and the capacity planning.
 */
@NullMarked
package io.flamingogap.core.fleet;

import org.jspecify.annotations.NullMarked;
