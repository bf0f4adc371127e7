/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.toml;

import org.jspecify.annotations.NullMarked;
