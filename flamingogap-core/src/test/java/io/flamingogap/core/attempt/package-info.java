/**
 * Tests of the tracking of dispatches.
 */
@NullMarked
package io.flamingogap.core.attempt;

import org.jspecify.annotations.NullMarked;
