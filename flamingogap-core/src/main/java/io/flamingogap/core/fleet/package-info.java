/**
 * Reports of entry nodes, the view of the fleet that they give, and the planning of how
 * many backend servers to order. Used by the gateway.
 */
@NullMarked
package io.flamingogap.core.fleet;

import org.jspecify.annotations.NullMarked;
