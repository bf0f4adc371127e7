/**
 * One entry node: its parts, what nodes tell each other, and its planned stop.
 */
@NullMarked
package io.flamingogap.gateway.node;

import org.jspecify.annotations.NullMarked;
