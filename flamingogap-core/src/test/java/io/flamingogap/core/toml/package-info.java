/**
 * Tests of the binding of TOML documents.
 */
@NullMarked
package io.flamingogap.core.toml;

import org.jspecify.annotations.NullMarked;
