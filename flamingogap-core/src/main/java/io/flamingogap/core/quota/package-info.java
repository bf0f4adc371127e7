/**
 * Quotas of client accounts, enforced by all entry nodes together.
 */
@NullMarked
package io.flamingogap.core.quota;

import org.jspecify.annotations.NullMarked;
