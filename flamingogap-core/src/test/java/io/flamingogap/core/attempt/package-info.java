/**
 * Tests of the package of the same name.
 */
@NullMarked
package io.flamingogap.core.attempt;

import org.jspecify.annotations.NullMarked;
