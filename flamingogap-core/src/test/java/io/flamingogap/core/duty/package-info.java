/**
 * Tests of the duties that one entry node at a time performs.
 */
@NullMarked
package io.flamingogap.core.duty;

import org.jspecify.annotations.NullMarked;
