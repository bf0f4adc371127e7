package io.flamingogap.core.stream;

import java.util.Objects;

/**
 * The position up to which a token stream was forwarded to its caller. Checking each
 * event against the cursor ensures that the caller receives each token of its own request
 * once and in order, even if several model engines produce the answer.
 * <p>
 * Not thread-safe.
 */
public final class StreamCursor {

	private final String requestId;

	private long nextPosition;

	private boolean complete;

	/**
	 * Create a cursor at a given position.
	 * @param requestId the id of the request
	 * @param nextPosition the position of the first token to forward; 0 for a new stream
	 */
	public StreamCursor(String requestId, long nextPosition) {
		this.requestId = Objects.requireNonNull(requestId, "requestId must not be null");
		if (nextPosition < 0) {
			throw new IllegalArgumentException("nextPosition must not be negative but was " + nextPosition);
		}
		this.nextPosition = nextPosition;
	}

	/**
	 * Check an event, and advance the cursor if it is the next one.
	 * @param eventRequestId the id of the request that the event belongs to
	 * @param position the position of the event's token, starting at 0
	 * @param last whether the event is the last one of the stream
	 * @return what to do with the event
	 */
	public EventVerdict accept(String eventRequestId, long position, boolean last) {
		if (!this.requestId.equals(eventRequestId)) {
			return EventVerdict.FOREIGN;
		}
		if (this.complete || position < this.nextPosition) {
			return EventVerdict.DUPLICATE;
		}
		if (position > this.nextPosition) {
			return EventVerdict.GAP;
		}
		this.nextPosition++;
		this.complete = last;
		return EventVerdict.PASS;
	}

	/**
	 * Return the position of the next token to forward.
	 * @return the position, starting at 0
	 */
	public long nextPosition() {
		return this.nextPosition;
	}

	/**
	 * Return whether the last event of the stream was passed on.
	 * @return {@code true} if the answer is complete
	 */
	public boolean isComplete() {
		return this.complete;
	}

}
