/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.fleet;

import org.jspecify.annotations.NullMarked;
