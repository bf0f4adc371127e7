/**
 * Selection of the entry nodes that callers are directed to.
 */
@NullMarked
package io.flamingogap.core.entry;

import org.jspecify.annotations.NullMarked;
