/**
 * Tests of how entry nodes reach the store through each other.
 */
@NullMarked
package io.flamingogap.gateway.peers;

import org.jspecify.annotations.NullMarked;
