/**
 * Tests of positions in token streams.
 */
@NullMarked
package io.flamingogap.core.stream;

import org.jspecify.annotations.NullMarked;
