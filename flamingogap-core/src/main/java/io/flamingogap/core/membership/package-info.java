/**
 * Membership of the entry nodes: the gossiped table, its merge rules and the selection of
 * peers.
 */
@NullMarked
package io.flamingogap.core.membership;

import org.jspecify.annotations.NullMarked;
