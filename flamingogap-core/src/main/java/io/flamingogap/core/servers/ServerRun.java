package io.flamingogap.core.servers;

import java.util.Objects;

/**
 * What is remembered of the newest run of a server, also after its registration has
 * ended: enough to tell the records that were written before the last known one. The
 * store may accept them later, because servers repeat calls whose answers were lost.
 *
 * @param startedAtMillis the start time of the run in milliseconds since 1970 UTC
 * @param sequence the number of the newest record
 * @param departed whether the run has said that it is leaving, in a record or in an
 * answer, which it never takes back
 * @param ended whether its registration has ended; it may register again
 * @param pause the last pause that the run asked for
 * @param offset the offset of the last record in the store, or of its end;
 * {@link #UNKNOWN_OFFSET} if the store has returned from an earlier copy since
 * @param unconfirmed whether the run was registered when the store returned and its
 * newest record hasn't been read since; the same record may be written again
 */
record ServerRun(long startedAtMillis, long sequence, boolean departed, boolean ended, ServerPause pause, long offset,
		boolean unconfirmed) {

	/** Lower than the offset of any record. */
	static final long UNKNOWN_OFFSET = -1;

	/**
	 * Create the memory of a run that is known by one record.
	 * @param registration the record
	 * @param offset the offset of the record in the store
	 * @return the run
	 */
	static ServerRun begin(ServerRegistration registration, long offset) {
		Objects.requireNonNull(registration, "registration must not be null");
		return new ServerRun(registration.startedAtMillis(), registration.sequence(), registration.draining(), false,
				ServerPause.NONE, offset, false);
	}

	/**
	 * Return whether a record that the store accepted later was also written later.
	 * @param registration a record of the same server
	 * @return {@code false} if it was written before the last known record or by an
	 * earlier run
	 */
	boolean isFollowedBy(ServerRegistration registration) {
		if (registration.startedAtMillis() != this.startedAtMillis) {
			return registration.startedAtMillis() > this.startedAtMillis;
		}
		if (registration.draining()) {
			return true;
		}
		return !this.departed && ((this.ended && !this.unconfirmed) ? registration.sequence() > this.sequence
				: registration.sequence() >= this.sequence);
	}

	/**
	 * Add a record that follows this run.
	 * @param registration the record
	 * @param newOffset the offset of the record in the store
	 * @return the run with the record, or a later run
	 */
	ServerRun with(ServerRegistration registration, long newOffset) {
		ServerRun begun = begin(registration, newOffset);
		return (registration.startedAtMillis() != this.startedAtMillis) ? begun
				: new ServerRun(this.startedAtMillis, Math.max(this.sequence, registration.sequence()),
						this.departed || registration.draining(), false, this.pause, newOffset, false);
	}

	/**
	 * Record that the run has said that it is leaving.
	 * @return the departed run
	 */
	ServerRun depart() {
		return new ServerRun(this.startedAtMillis, this.sequence, true, this.ended, this.pause, this.offset,
				this.unconfirmed);
	}

	/**
	 * Record that the run asked for a pause, in place of an earlier one.
	 * @param newPause the pause
	 * @return the run with the pause
	 */
	ServerRun withPause(ServerPause newPause) {
		return new ServerRun(this.startedAtMillis, this.sequence, this.departed, this.ended, newPause, this.offset,
				this.unconfirmed);
	}

	/**
	 * End the registration.
	 * @param endOffset the offset of the end in the store
	 * @return the run without a registration
	 */
	ServerRun end(long endOffset) {
		return new ServerRun(this.startedAtMillis, this.sequence, this.departed, true, this.pause,
				Math.max(this.offset, endOffset), this.unconfirmed);
	}

	/**
	 * Forget the offset, because the store has returned from an earlier copy.
	 * @param maybeRegistered whether the run may be registered: it hasn't ended, or ended
	 * while the store was disrupted
	 * @return the run, whose last record may be missing from the store
	 */
	ServerRun forgetOffset(boolean maybeRegistered) {
		return new ServerRun(this.startedAtMillis, this.sequence, this.departed, this.ended, this.pause, UNKNOWN_OFFSET,
				maybeRegistered);
	}

}
