/**
 * Quotas of client accounts, enforced by all entry nodes together. Used by the gateway.
 */
@NullMarked
package io.flamingogap.core.quota;

import org.jspecify.annotations.NullMarked;
