/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.core.servers;

import org.jspecify.annotations.NullMarked;
