/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.quota;

import org.jspecify.annotations.NullMarked;
