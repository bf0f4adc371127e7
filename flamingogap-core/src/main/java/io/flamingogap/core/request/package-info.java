/**
 * At-most-once execution of requests that carry an idempotency key.
 */
@NullMarked
package io.flamingogap.core.request;

import org.jspecify.annotations.NullMarked;
