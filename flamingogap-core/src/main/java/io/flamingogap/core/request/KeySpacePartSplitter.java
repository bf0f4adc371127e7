package io.flamingogap.core.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Utility that splits key space parts into messages of a limited estimated size.
 */
public final class KeySpacePartSplitter {

	/**
	 * Estimated encoded size of an entry without its bodies. An entry with a long request
	 * path can be larger, because the length of the path isn't counted.
	 */
	private static final long ENTRY_OVERHEAD_BYTES = 512;

	private KeySpacePartSplitter() {
	}

	/**
	 * Split parts into messages. Sent in order, the messages have the same effect as the
	 * parts: of a part that replaces all entries at the receiver, only the first chunk
	 * does so.
	 * @param parts the parts to split
	 * @param maxBytes the maximum estimated size of a message in bytes; only a message
	 * with a single entry may exceed it
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
			List<LedgerEntry> chunkEntries = new ArrayList<>();
			boolean replacesAll = part.replacesAll();
			for (LedgerEntry entry : part.entries()) {
				long entryBytes = entry.sizeBytes() + ENTRY_OVERHEAD_BYTES;
				if (messageBytes > 0 && messageBytes + entryBytes > maxBytes) {
					message.add(createChunk(part, chunkEntries, replacesAll));
					messages.add(message);
					message = new ArrayList<>();
					messageBytes = 0;
					chunkEntries = new ArrayList<>();
					replacesAll = false;
				}
				chunkEntries.add(entry);
				messageBytes += entryBytes;
			}
			message.add(createChunk(part, chunkEntries, replacesAll));
		}
		messages.add(message);
		return messages;
	}

	private static KeySpacePart createChunk(KeySpacePart part, List<LedgerEntry> entries, boolean replacesAll) {
		return new KeySpacePart(part.issuer(), part.forgottenThroughMillis(), entries, replacesAll, part.fingerprint());
	}

}
