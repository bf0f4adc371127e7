/**
 * Runs requests with an idempotency key, each at most once.
 */
@NullMarked
package io.flamingogap.daemon.requests;

import org.jspecify.annotations.NullMarked;
