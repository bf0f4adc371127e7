/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.config;

import org.jspecify.annotations.NullMarked;
