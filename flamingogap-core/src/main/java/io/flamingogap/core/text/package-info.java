/**
 * Digests and encodings shared by the other packages.
 */
@NullMarked
package io.flamingogap.core.text;

import org.jspecify.annotations.NullMarked;
