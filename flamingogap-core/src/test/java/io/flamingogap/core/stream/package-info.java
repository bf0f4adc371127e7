/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.stream;

import org.jspecify.annotations.NullMarked;
