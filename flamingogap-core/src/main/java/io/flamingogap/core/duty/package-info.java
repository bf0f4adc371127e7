/**
 * Duties that one entry node has at a time: reports of usage, orders of servers,
 * decisions of rollouts.
 */
@NullMarked
package io.flamingogap.core.duty;

import org.jspecify.annotations.NullMarked;
