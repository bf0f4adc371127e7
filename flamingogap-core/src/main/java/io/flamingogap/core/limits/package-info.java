/**
 * Limits on open requests and budgets for retries, which refuse work early.
 */
@NullMarked
package io.flamingogap.core.limits;

import org.jspecify.annotations.NullMarked;
