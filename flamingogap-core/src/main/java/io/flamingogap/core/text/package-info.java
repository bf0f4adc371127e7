/**
 * Cryptographic digests that the other packages share.
 */
@NullMarked
package io.flamingogap.core.text;

import org.jspecify.annotations.NullMarked;
