/**
 * Positions in token streams, and the detection of duplicate, missing and foreign events.
 */
@NullMarked
package io.flamingogap.core.stream;

import org.jspecify.annotations.NullMarked;
