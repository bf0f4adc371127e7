/**
 * Tests of the selection of entry nodes.
 */
@NullMarked
package io.flamingogap.core.entry;

import org.jspecify.annotations.NullMarked;
