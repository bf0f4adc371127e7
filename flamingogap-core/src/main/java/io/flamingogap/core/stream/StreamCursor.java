package io.flamingogap.core.stream;

import java.util.Objects;

/**
 * The place up to which a token stream has been passed on. Each event is checked against
 * it, so that a caller sees each token of the own request once and in order, whichever
 * engines the tokens came from.
 * <p>
 * Not safe for use by several threads.
 */
public final class StreamCursor {

	private final String requestId;

	private long nextPosition;

	private boolean ended;

	/**
	 * Create a cursor.
	 * @param requestId the id of the request
	 * @param nextPosition the position of the first token to pass on
	 */
	public StreamCursor(String requestId, long nextPosition) {
		this.requestId = Objects.requireNonNull(requestId, "requestId must not be null");
		if (nextPosition < 0) {
			throw new IllegalArgumentException("nextPosition must not be negative but was " + nextPosition);
		}
		this.nextPosition = nextPosition;
	}

	/**
	 * Check an event and move on if it is the next one.
	 * @param eventRequestId the request that the event belongs to
	 * @param position the position of its token
	 * @param last whether the event ends the stream
	 * @return what to do with the event
	 */
	public EventVerdict accept(String eventRequestId, long position, boolean last) {
		if (!this.requestId.equals(eventRequestId)) {
			return EventVerdict.FOREIGN;
		}
		if (this.ended || position < this.nextPosition) {
			return EventVerdict.DUPLICATE;
		}
		if (position > this.nextPosition) {
			return EventVerdict.GAP;
		}
		this.nextPosition++;
		this.ended = last;
		return EventVerdict.PASS;
	}

	/**
	 * Return the position of the next token.
	 * @return the position, from 0
	 */
	public long nextPosition() {
		return this.nextPosition;
	}

	/**
	 * Return whether the last event was passed on.
	 * @return {@code true} if the answer is whole
	 */
	public boolean isComplete() {
		return this.ended;
	}

}
