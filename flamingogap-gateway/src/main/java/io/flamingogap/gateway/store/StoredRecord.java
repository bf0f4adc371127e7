package io.flamingogap.gateway.store;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a stream.
 *
 * @param key what the record is about
 * @param value the content; empty if the key is removed
 * @param offset its position in the stream
 */
public record StoredRecord(String key, Optional<byte[]> value, long offset) {

	public StoredRecord {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(value, "value must not be null");
	}

}
