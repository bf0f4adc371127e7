/**
 * Duties that one entry node at a time performs for all of them: usage reports, orders of
 * backend servers and rollout decisions.
 */
@NullMarked
package io.flamingogap.core.duty;

import org.jspecify.annotations.NullMarked;
