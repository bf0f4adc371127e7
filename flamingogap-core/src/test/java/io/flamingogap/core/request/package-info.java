/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.request;

import org.jspecify.annotations.NullMarked;
