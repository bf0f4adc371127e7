/**
 * Tests of the package of the same name.
 */
@NullMarked
package io.flamingogap.core.serving;

import org.jspecify.annotations.NullMarked;
