package io.flamingogap.core.limits;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An account of the bytes that a node holds for its requests, and the decision which of
 * them to give up when they exceed a limit.
 * <p>
 * Not thread-safe.
 *
 * @param <T> who holds bytes
 */
public final class HeldBytes<T> {

	private final long maxBytes;

	private final Map<Kind, Map<T, Long>> bytesByHolder = new EnumMap<>(Kind.class);

	private long totalBytes;

	/**
	 * Create an account without holders.
	 * @param maxBytes the limit of the sum, in bytes
	 */
	public HeldBytes(long maxBytes) {
		if (maxBytes < 1) {
			throw new IllegalArgumentException("maxBytes must be positive but was " + maxBytes);
		}
		this.maxBytes = maxBytes;
		for (Kind kind : Kind.values()) {
			this.bytesByHolder.put(kind, new LinkedHashMap<>());
		}
	}

	/**
	 * Set what a holder holds, in place of what was set before.
	 * @param holder the holder
	 * @param kind what kind of bytes it holds, always the same for a holder
	 * @param bytes the number of bytes; 0 for none
	 */
	public void set(T holder, Kind kind, long bytes) {
		Map<T, Long> holders = this.bytesByHolder.get(kind);
		Long previous = (bytes > 0) ? holders.put(holder, bytes) : holders.remove(holder);
		this.totalBytes += bytes - ((previous != null) ? previous : 0);
	}

	/**
	 * Decide who gives up its bytes next.
	 * @return the holder of the most bytes of the first kind that is held; empty if the
	 * limit isn't exceeded
	 */
	public Optional<T> nextToRelease() {
		if (this.totalBytes <= this.maxBytes) {
			return Optional.empty();
		}
		return this.bytesByHolder.values()
			.stream()
			.filter((holders) -> !holders.isEmpty())
			.findFirst()
			.flatMap((holders) -> holders.entrySet().stream().max(Comparator.comparingLong(Map.Entry::getValue)))
			.map(Map.Entry::getKey);
	}

	/**
	 * Return the sum of what is held.
	 * @return the number of bytes
	 */
	public long totalBytes() {
		return this.totalBytes;
	}

	/**
	 * The kinds of bytes, in the order in which they are given up.
	 */
	public enum Kind {

		/** Parts of answers whose servers have not sent the rest. */
		INCOMPLETE,

		/** Parts of answers that callers have not read. */
		UNREAD

	}

}
