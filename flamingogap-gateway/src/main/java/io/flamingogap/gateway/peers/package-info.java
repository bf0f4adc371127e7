/**
 * Other entry nodes, which reach the platform's store for a node that it turns away.
 */
@NullMarked
package io.flamingogap.gateway.peers;

import org.jspecify.annotations.NullMarked;
