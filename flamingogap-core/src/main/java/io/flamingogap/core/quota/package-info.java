/**
 * Quotas of client accounts that all entry nodes keep together.
 */
@NullMarked
package io.flamingogap.core.quota;

import org.jspecify.annotations.NullMarked;
