/**
 * Tests of the package of the same name.
 */
@NullMarked
package io.flamingogap.core.duty;

import org.jspecify.annotations.NullMarked;
