/**
 * Tests of what entry nodes ask of each other.
 */
@NullMarked
package io.flamingogap.gateway.peers;

import org.jspecify.annotations.NullMarked;
