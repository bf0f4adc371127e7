package io.flamingogap.core.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits parts of key spaces into messages of a bounded size.
 */
public final class KeySpaceParts {

	/** What an entry takes in a message besides its bodies, rounded up. */
	private static final long ENTRY_OVERHEAD_BYTES = 512;

	private KeySpaceParts() {
	}

	/**
	 * Split parts into messages. Sent in order they have the effect of the parts: of a
	 * whole part only the first piece replaces what the receiver holds.
	 * @param parts the parts
	 * @param maxBytes the size of a message, which a single larger entry may exceed
	 * @return the messages, at least one
	 */
	public static List<List<KeySpacePart>> split(List<KeySpacePart> parts, long maxBytes) {
		if (maxBytes < 1) {
			throw new IllegalArgumentException("maxBytes must be positive but was " + maxBytes);
		}
		List<List<KeySpacePart>> messages = new ArrayList<>();
		List<KeySpacePart> message = new ArrayList<>();
		long messageBytes = 0;
		for (KeySpacePart part : parts) {
			List<LedgerEntry> piece = new ArrayList<>();
			boolean whole = part.full();
			for (LedgerEntry entry : part.entries()) {
				long entryBytes = entry.sizeBytes() + ENTRY_OVERHEAD_BYTES;
				if (messageBytes > 0 && messageBytes + entryBytes > maxBytes) {
					message.add(piece(part, piece, whole));
					messages.add(message);
					message = new ArrayList<>();
					messageBytes = 0;
					piece = new ArrayList<>();
					whole = false;
				}
				piece.add(entry);
				messageBytes += entryBytes;
			}
			message.add(piece(part, piece, whole));
		}
		messages.add(message);
		return messages;
	}

	private static KeySpacePart piece(KeySpacePart part, List<LedgerEntry> entries, boolean whole) {
		return new KeySpacePart(part.issuer(), part.forgottenThroughMillis(), entries, whole, part.fingerprint());
	}

}
