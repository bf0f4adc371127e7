/**
 * Failures of requests, with the step and the peer at which they occurred.
 */
@NullMarked
package io.flamingogap.core.error;

import org.jspecify.annotations.NullMarked;
