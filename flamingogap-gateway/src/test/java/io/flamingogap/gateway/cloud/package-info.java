/**
 * Tests of what the holder of the duties does for all.
 */
@NullMarked
package io.flamingogap.gateway.cloud;

import org.jspecify.annotations.NullMarked;
