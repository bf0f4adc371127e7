/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.membership;

import org.jspecify.annotations.NullMarked;
