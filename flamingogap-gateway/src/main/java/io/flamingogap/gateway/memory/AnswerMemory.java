package io.flamingogap.gateway.memory;

import java.util.Optional;

import io.flamingogap.core.limits.HeldBytes;

/**
 * Limits the memory for answers that servers have not completed or callers have not read.
 * Used on the event loop only.
 */
public final class AnswerMemory {

	/** Holders of fewer bytes are not counted, which keeps short answers cheap. */
	private static final long MIN_COUNTED_BYTES = 4_096;

	private final HeldBytes<BytesHolder> account;

	/**
	 * Create an account in which nothing is held.
	 * @param maxBytes the limit, in bytes
	 */
	public AnswerMemory(long maxBytes) {
		this.account = new HeldBytes<>(maxBytes);
	}

	/**
	 * Set what a holder holds. Holders, among them this one, are told to release their
	 * bytes while the limit is exceeded.
	 * @param holder the holder
	 * @param kind the kind of bytes, always the same for a holder
	 * @param bytes the number of bytes; 0 for none
	 */
	public void set(BytesHolder holder, HeldBytes.Kind kind, long bytes) {
		if (bytes < MIN_COUNTED_BYTES && this.account.totalBytes() == 0) {
			return;
		}
		this.account.set(holder, kind, (bytes < MIN_COUNTED_BYTES) ? 0 : bytes);
		for (Optional<BytesHolder> next = this.account.nextToRelease(); next
			.isPresent(); next = this.account.nextToRelease()) {
			forget(next.get());
			next.get().releaseBytes();
		}
	}

	private void forget(BytesHolder holder) {
		for (HeldBytes.Kind kind : HeldBytes.Kind.values()) {
			this.account.set(holder, kind, 0);
		}
	}

	/**
	 * Return the sum of what is held.
	 * @return the number of bytes that are counted
	 */
	public long totalBytes() {
		return this.account.totalBytes();
	}

}
