/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.manifest;

import org.jspecify.annotations.NullMarked;
