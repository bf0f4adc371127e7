/**
 * Tests of the duties that one entry node carries out for all.
 */
@NullMarked
package io.flamingogap.gateway.cloud;

import org.jspecify.annotations.NullMarked;
