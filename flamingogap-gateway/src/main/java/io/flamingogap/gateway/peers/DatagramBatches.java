package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Splits lists so that each part fits into a datagram.
 */
public final class DatagramBatches {

	/**
	 * Leaves room for what a datagram has besides the list, within the limit of
	 * {@link PeerDatagramChannel}.
	 */
	private static final int MAX_LIST_BYTES = 1_200;

	/** What an element takes besides its text. */
	private static final int ELEMENT_BYTES = 16;

	private DatagramBatches() {
	}

	/**
	 * Split a list.
	 * @param <T> the type of the elements
	 * @param elements the elements
	 * @param textLength returns the length of an element's text
	 * @return parts of the list in order, none of them empty; a part is too long only if
	 * it has a single element
	 */
	public static <T> List<List<T>> split(Iterable<T> elements, ToIntFunction<T> textLength) {
		List<List<T>> batches = new ArrayList<>();
		int bytes = MAX_LIST_BYTES;
		for (T element : elements) {
			int elementBytes = textLength.applyAsInt(element) + ELEMENT_BYTES;
			if (bytes + elementBytes > MAX_LIST_BYTES) {
				batches.add(new ArrayList<>());
				bytes = 0;
			}
			batches.get(batches.size() - 1).add(element);
			bytes += elementBytes;
		}
		return batches;
	}

}
