/**
 * The life of one attempt of a caller: what its dispatches may have caused, whether
 * another server may be tried, and which failure is true.
 */
@NullMarked
package io.flamingogap.core.attempt;

import org.jspecify.annotations.NullMarked;
