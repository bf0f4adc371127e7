package io.flamingogap.core.entry;

import io.flamingogap.core.node.Address;

/**
 * Address of an entry node and the prefix of idempotency keys that this node owns.
 *
 * @param address the address at which the node accepts connections of callers
 * @param zone the name of its availability zone
 * @param keyPrefix the prefix to which a caller appends its own part to make an
 * idempotency key for this node
 */
public record EntryEndpoint(Address address, String zone, String keyPrefix) {
}
