/**
 * Which entry nodes callers are told to use.
 */
@NullMarked
package io.flamingogap.core.entry;

import org.jspecify.annotations.NullMarked;
