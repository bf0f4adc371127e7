/**
 * Access to the monotonic clock and the time of day.
 */
@NullMarked
package io.flamingogap.gateway.time;

import org.jspecify.annotations.NullMarked;
