/**
 * Communication between entry nodes over Thrift: membership, gossip, forwarded requests
 * and handover.
 */
@NullMarked
package io.flamingogap.daemon.nodes;

import org.jspecify.annotations.NullMarked;
