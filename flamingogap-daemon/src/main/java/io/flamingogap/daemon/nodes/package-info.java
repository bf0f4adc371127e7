/**
 * Talks to other entry nodes over Thrift.
 */
@NullMarked
package io.flamingogap.daemon.nodes;

import org.jspecify.annotations.NullMarked;
