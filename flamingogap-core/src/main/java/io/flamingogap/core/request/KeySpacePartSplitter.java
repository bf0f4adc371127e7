package io.flamingogap.core.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Utilities that split key space parts into messages of a bounded size.
 */
public final class KeySpacePartSplitter {

	/** Upper estimate of the encoded size of an entry without its bodies. */
	private static final long ENTRY_OVERHEAD_BYTES = 512;

	private KeySpacePartSplitter() {
	}

	/**
	 * Split parts into messages. Sent in order, the messages have the same effect as the
	 * parts: only the first chunk of a full part is marked as full and replaces what the
	 * receiver holds.
	 * @param parts the parts to split
	 * @param maxBytes the maximum size of a message in bytes; only a message with a
	 * single entry may exceed it
	 * @return the messages in the order in which to send them; never empty
	 */
	public static List<List<KeySpacePart>> split(List<KeySpacePart> parts, long maxBytes) {
		if (maxBytes < 1) {
			throw new IllegalArgumentException("maxBytes must be positive but was " + maxBytes);
		}
		List<List<KeySpacePart>> messages = new ArrayList<>();
		List<KeySpacePart> message = new ArrayList<>();
		long messageBytes = 0;
		for (KeySpacePart part : parts) {
			List<LedgerEntry> chunk = new ArrayList<>();
			boolean replacesAll = part.replacesAll();
			for (LedgerEntry entry : part.entries()) {
				long entryBytes = entry.sizeBytes() + ENTRY_OVERHEAD_BYTES;
				if (messageBytes > 0 && messageBytes + entryBytes > maxBytes) {
					message.add(chunk(part, chunk, replacesAll));
					messages.add(message);
					message = new ArrayList<>();
					messageBytes = 0;
					chunk = new ArrayList<>();
					replacesAll = false;
				}
				chunk.add(entry);
				messageBytes += entryBytes;
			}
			message.add(chunk(part, chunk, replacesAll));
		}
		messages.add(message);
		return messages;
	}

	private static KeySpacePart chunk(KeySpacePart part, List<LedgerEntry> entries, boolean replacesAll) {
		return new KeySpacePart(part.issuer(), part.forgottenThroughMillis(), entries, replacesAll, part.fingerprint());
	}

}
