/**
 * Tracking of the dispatches of one attempt: what they may have caused, whether another
 * backend server may be tried, and which failure is reported to the caller.
 */
@NullMarked
package io.flamingogap.core.attempt;

import org.jspecify.annotations.NullMarked;
