/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.daemon.backends;

import org.jspecify.annotations.NullMarked;
