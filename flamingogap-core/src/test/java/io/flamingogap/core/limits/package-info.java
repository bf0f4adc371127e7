/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.limits;

import org.jspecify.annotations.NullMarked;
