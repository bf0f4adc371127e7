/**
 * Positions in token streams and the checks that keep an answer whole.
 */
@NullMarked
package io.flamingogap.core.stream;

import org.jspecify.annotations.NullMarked;
