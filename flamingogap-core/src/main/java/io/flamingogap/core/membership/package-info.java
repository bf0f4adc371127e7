/**
 * The table of entry nodes and the rules by which rows merge.
 */
@NullMarked
package io.flamingogap.core.membership;

import org.jspecify.annotations.NullMarked;
