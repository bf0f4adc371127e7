/**
 * Tests of the communication between entry nodes.
 */
@NullMarked
package io.flamingogap.daemon.nodes;

import org.jspecify.annotations.NullMarked;
