/**
 * The clocks of a node.
 */
@NullMarked
package io.flamingogap.gateway.time;

import org.jspecify.annotations.NullMarked;
