/**
 * Tests of the package of the same name.
 */
@NullMarked
package io.flamingogap.core.fleet;

import org.jspecify.annotations.NullMarked;
