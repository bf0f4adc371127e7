/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.routing;

import org.jspecify.annotations.NullMarked;
