/**
 * The entry node: wiring, start and planned stop.
 */
@NullMarked
package io.flamingogap.daemon;

import org.jspecify.annotations.NullMarked;
