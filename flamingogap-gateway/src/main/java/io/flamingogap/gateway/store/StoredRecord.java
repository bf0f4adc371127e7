package io.flamingogap.gateway.store;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a stream and its position.
 *
 * @param key identifies the subject of the record within its stream
 * @param value the content; empty if the record removes the key
 * @param offset the position in the stream
 */
public record StoredRecord(String key, Optional<byte[]> value, long offset) {

	public StoredRecord {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(value, "value must not be null");
	}

}
