/**
 * Budgets and limits that refuse work early.
 */
@NullMarked
package io.flamingogap.core.limits;

import org.jspecify.annotations.NullMarked;
