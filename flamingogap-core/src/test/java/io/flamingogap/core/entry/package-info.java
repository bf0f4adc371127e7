/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.entry;

import org.jspecify.annotations.NullMarked;
