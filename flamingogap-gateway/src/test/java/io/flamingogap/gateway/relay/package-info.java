/**
 * Tests of the way of one request.
 */
@NullMarked
package io.flamingogap.gateway.relay;

import org.jspecify.annotations.NullMarked;
