package io.flamingogap.core.entry;

import io.flamingogap.core.node.Address;

/**
 * One entry node in an entry answer.
 *
 * @param address where to connect
 * @param zone the availability zone of the node
 * @param keyPrefix what idempotency keys for this node begin with
 */
public record EntryEndpoint(Address address, String zone, String keyPrefix) {
}
