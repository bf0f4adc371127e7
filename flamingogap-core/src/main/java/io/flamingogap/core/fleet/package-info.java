/**
 * What entry nodes report of themselves, the picture of the fleet that it makes, and how
 * many backend servers are ordered.
 */
@NullMarked
package io.flamingogap.core.fleet;

import org.jspecify.annotations.NullMarked;
