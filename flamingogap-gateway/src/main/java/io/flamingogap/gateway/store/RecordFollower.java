package io.flamingogap.gateway.store;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.gateway.log.LogLine;

/**
 * Follows a stream: lists the newest record of each key, then reads every record that is
 * appended later. Lists again if the store has dropped records that weren't read yet, or
 * has returned from an earlier copy of itself. A return is recognized by the number of
 * the timeline; if there is none, by a stream that ends before an offset that was read
 * from and that the store doesn't have, on this or another stream. Used on the event loop
 * only.
 */
public final class RecordFollower {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The longest time between two answers of a store that answers: a pause and a read.
	 */
	public static final long MAX_READ_CYCLE_MILLIS = 1_700;

	/**
	 * How long a read may wait at the store for a new record. A store that stops
	 * answering is detected only after this time plus the margin of the client's timeout,
	 * which fits into the time allowed for applying a configuration.
	 */
	private static final long READ_WAIT_MILLIS = 1_000;

	/**
	 * The delay after a failed call. Doubles with every further failure up to
	 * {@link #MAX_RETRY_DELAY_MILLIS}.
	 */
	private static final long MIN_RETRY_DELAY_MILLIS = 100;

	private static final long MAX_RETRY_DELAY_MILLIS = 400;

	private final EventLoop loop;

	private final RecordStore store;

	private final StoreStream stream;

	private final long readPauseMillis;

	private long replayOffsets;

	private long maxGapMillis = Long.MAX_VALUE;

	private final RecordListener listener;

	private final LongSupplier steadyMillis;

	private final UnnumberedReturns unnumberedReturns;

	private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

	private long lastContactAtMillis;

	private long lastDisruptionAtMillis = Long.MIN_VALUE / 2;

	private boolean reachable = true;

	private boolean listingCompleted;

	/** The newest timeline of all answers that were used. */
	private long timeline = RecordStore.UNNUMBERED_TIMELINE;

	private boolean recordsDelivered;

	/** The last offset that was read from. */
	private long offset;

	/**
	 * The offset that the store didn't have, until the next listing; otherwise empty.
	 */
	private OptionalLong missingOffset = OptionalLong.empty();

	/** Whether no read has succeeded since the store lacked the record of one. */
	private boolean missingAfterListing;

	/** Whether this follower itself has noticed the return that listeners are told of. */
	private boolean notifyingOthers;

	/**
	 * Rises whenever the stream is listed anew from outside; answers to earlier calls and
	 * delayed retries are then ignored.
	 */
	private int restarts;

	/** The timeline before a return that the listener doesn't know of yet. */
	private OptionalLong timelineBeforeReturn = OptionalLong.empty();

	/**
	 * Create a follower.
	 * @param loop the event loop that runs the reads and the listener
	 * @param store the store to read from
	 * @param stream the stream to follow
	 * @param readPauseMillis the pause in milliseconds, shorter than
	 * {@link #MAX_READ_CYCLE_MILLIS}, after a read that returned records from the store,
	 * so that the next read returns several at once; 0 for none. There is no pause after
	 * records that the relay of the zone returned
	 * @param listener receives the records
	 * @param steadyMillis the monotonic clock, in milliseconds
	 * @param unnumberedReturns tells the followers of this node of returns that only one
	 * of them has noticed
	 */
	public RecordFollower(EventLoop loop, RecordStore store, StoreStream stream, long readPauseMillis,
			RecordListener listener, LongSupplier steadyMillis, UnnumberedReturns unnumberedReturns) {
		if (readPauseMillis < 0 || readPauseMillis >= MAX_READ_CYCLE_MILLIS) {
			throw new IllegalArgumentException(
					"readPauseMillis must be 0 to " + (MAX_READ_CYCLE_MILLIS - 1) + " but was " + readPauseMillis);
		}
		this.loop = loop;
		this.store = store;
		this.stream = stream;
		this.readPauseMillis = readPauseMillis;
		this.listener = listener;
		this.steadyMillis = steadyMillis;
		this.unnumberedReturns = unnumberedReturns;
		unnumberedReturns.addListener(this::restartAfterUnnumberedReturn);
	}

	/**
	 * Also read records from before the first listing, if the store still has them.
	 * @param offsets the number of offsets to go back from the end of the stream
	 * @return this follower
	 */
	public RecordFollower replaying(long offsets) {
		this.replayOffsets = offsets;
		return this;
	}

	/**
	 * Also list the stream anew if the store didn't answer for a time and doesn't number
	 * its timelines. It may have returned meanwhile, and other records may have got the
	 * offsets of the lost ones. The listener is told as of a return.
	 * @param newMaxGapMillis the longest time between two answers after which records are
	 * read on, in milliseconds
	 * @return this follower
	 */
	public RecordFollower listingAfterGaps(long newMaxGapMillis) {
		this.maxGapMillis = newMaxGapMillis;
		return this;
	}

	/**
	 * Start following the stream.
	 */
	public void start() {
		listFrom(Optional.empty(), new HashSet<>(), Long.MAX_VALUE);
	}

	private void restartAfterUnnumberedReturn() {
		if (this.notifyingOthers || !this.recordsDelivered || this.timeline != RecordStore.UNNUMBERED_TIMELINE) {
			return;
		}
		this.restarts++;
		recordReturn(this.timeline);
		runAfter(this::start, 0);
	}

	private void listFrom(Optional<String> after, Set<String> keys, long smallestEnd) {
		int restartsAtCall = this.restarts;
		this.store.listNewest(this.stream, after).whenComplete((page, failure) -> {
			if (this.restarts != restartsAtCall) {
				return;
			}
			if (failure != null) {
				onFailure(failure, this::start);
				return;
			}
			if (page.timeline() < this.timeline) {
				onFailure(outdated(page.timeline()), this::start);
				return;
			}
			onSuccess(0);
			boolean isLaterTimeline = page.timeline() > this.timeline;
			if (isLaterTimeline) {
				recordReturn(page.timeline());
			}
			else if (page.endOffset() < this.missingOffset.orElse(0)) {
				recordReturn(page.timeline());
				notifyOthersIfUnnumbered();
			}
			if (isLaterTimeline && after.isPresent()) {
				start();
				return;
			}
			notifyOfReturn(page.endOffset());
			this.missingOffset = OptionalLong.empty();
			this.recordsDelivered = true;
			page.records().forEach((entry) -> {
				keys.add(entry.key());
				process(entry);
			});
			long listingEnd = Math.min(smallestEnd, page.endOffset());
			if (page.hasMore() && !page.records().isEmpty()) {
				listFrom(Optional.of(page.records().get(page.records().size() - 1).key()), keys, listingEnd);
				return;
			}
			this.listingCompleted = true;
			this.listener.onListed(keys, listingEnd);
			long from = Math.max(0, listingEnd - this.replayOffsets);
			this.replayOffsets = 0;
			readFrom(from);
		});
	}

	private static StoreException outdated(long timeline) {
		return new StoreException(StoreException.Reason.UNAVAILABLE,
				"the answer is of the earlier timeline " + timeline);
	}

	private void recordReturn(long newTimeline) {
		if (this.recordsDelivered && this.timelineBeforeReturn.isEmpty()) {
			this.timelineBeforeReturn = OptionalLong.of(this.timeline);
		}
		this.timeline = newTimeline;
	}

	private void notifyOthersIfUnnumbered() {
		if (this.timeline == RecordStore.UNNUMBERED_TIMELINE) {
			this.notifyingOthers = true;
			this.unnumberedReturns.notifyListeners();
			this.notifyingOthers = false;
		}
	}

	private void notifyOfReturn(long newEndOffset) {
		if (this.timelineBeforeReturn.isEmpty()) {
			return;
		}
		this.lastDisruptionAtMillis = this.steadyMillis.getAsLong();
		logger.atWarning()
			.log("%s",
					LogLine.of("store restored")
						.with("stream", this.stream.name())
						.with("fromTimeline", this.timelineBeforeReturn.getAsLong())
						.with("toTimeline", this.timeline)
						.with("offset", this.offset)
						.with("endOffset", newEndOffset));
		this.timelineBeforeReturn = OptionalLong.empty();
		this.listener.onStoreRestored();
	}

	private void readFrom(long from) {
		this.offset = from;
		int restartsAtCall = this.restarts;
		long waitMillis = Math.min(READ_WAIT_MILLIS, MAX_READ_CYCLE_MILLIS - this.readPauseMillis);
		this.store.read(this.stream, from, this.reachable ? waitMillis : 0).whenComplete((batch, failure) -> {
			if (this.restarts != restartsAtCall) {
				return;
			}
			if (failure != null && StoreException.of(failure).reason().areRecordsMissing()) {
				logger.atInfo()
					.log("%s",
							LogLine.of("records dropped by the store")
								.with("stream", this.stream.name())
								.with("offset", from)
								.with("timeline", this.store.timeline())
								.with("reason", String.valueOf(StoreException.of(failure).getMessage())));
				this.missingOffset = OptionalLong.of(from);
				if (this.store.timeline() > this.timeline) {
					recordReturn(this.store.timeline());
				}
				else if (StoreException.of(failure).reason() == StoreException.Reason.SHORTENED) {
					// Until the listing, other records may have got the missing offsets.
					this.missingOffset = OptionalLong.empty();
					recordReturn(this.timeline);
					notifyOthersIfUnnumbered();
				}
				// The listing may have come from a node that is behind.
				runAfter(this::start, this.missingAfterListing ? MIN_RETRY_DELAY_MILLIS : 0);
				this.missingAfterListing = true;
			}
			else if (failure != null) {
				onFailure(failure, () -> readFrom(from));
			}
			else if (batch.timeline() < this.timeline) {
				onFailure(outdated(batch.timeline()), () -> readFrom(from));
			}
			else if (batch.timeline() > this.timeline) {
				onSuccess(batch.ageMillis());
				recordReturn(batch.timeline());
				start();
			}
			else if (mayHaveMissedReturn()) {
				onSuccess(batch.ageMillis());
				recordReturn(this.timeline);
				start();
			}
			else {
				onSuccess(batch.ageMillis());
				this.missingAfterListing = false;
				batch.records().forEach(this::process);
				boolean isReadFromStore = !batch.records().isEmpty() && !batch.fromZoneRelay();
				runAfter(() -> readFrom(batch.nextOffset()), isReadFromStore ? this.readPauseMillis : 0);
			}
		});
	}

	private boolean mayHaveMissedReturn() {
		return this.timeline == RecordStore.UNNUMBERED_TIMELINE
				&& this.steadyMillis.getAsLong() - this.lastContactAtMillis > this.maxGapMillis;
	}

	private void process(StoredRecord entry) {
		try {
			this.listener.onRecord(entry);
		}
		catch (RuntimeException | StackOverflowError ex) {
			// The stream is followed whatever a single record causes.
			logger.atSevere()
				.withCause(ex)
				.log("%s",
						LogLine.of("record not processed")
							.with("stream", this.stream.name())
							.with("key", entry.key())
							.with("offset", entry.offset()));
		}
	}

	private void onSuccess(long ageMillis) {
		long nowMillis = this.steadyMillis.getAsLong();
		this.lastContactAtMillis = Math.max(this.lastContactAtMillis, nowMillis - ageMillis);
		this.retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
		if (!this.reachable) {
			this.reachable = true;
			this.lastDisruptionAtMillis = nowMillis;
			logger.atInfo().log("%s", LogLine.of("store reached again").with("stream", this.stream.name()));
		}
	}

	private void onFailure(Throwable failure, Runnable retry) {
		this.lastDisruptionAtMillis = this.steadyMillis.getAsLong();
		if (this.reachable) {
			this.reachable = false;
			logger.atWarning()
				.log("%s",
						LogLine.of("store lost")
							.with("stream", this.stream.name())
							.with("reason", String.valueOf(StoreException.of(failure).getMessage())));
		}
		runAfter(retry, this.retryDelayMillis);
		this.retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, this.retryDelayMillis * 2);
	}

	private void runAfter(Runnable task, long delayMillis) {
		int restartsNow = this.restarts;
		Runnable unlessRestarted = () -> {
			if (this.restarts == restartsNow) {
				task.run();
			}
		};
		if (delayMillis == 0) {
			this.loop.execute(unlessRestarted);
		}
		else {
			this.loop.schedule(unlessRestarted, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Return the offset up to which records have been read.
	 * @return the offset that is read next
	 */
	public long nextOffset() {
		return this.offset;
	}

	/**
	 * Return when a call last failed, when the first call after failures succeeded, or
	 * when the store was listed after a return from an earlier copy.
	 * @return the time in milliseconds of the monotonic clock; far in the past if there
	 * was no such disruption
	 */
	public long lastDisruptionAtMillis() {
		return this.lastDisruptionAtMillis;
	}

	/**
	 * Return when the store last answered a call successfully, of this node or of the one
	 * that answered for it.
	 * @return the time in milliseconds of the monotonic clock; 0 before the first answer
	 */
	public long lastContactAtMillis() {
		return this.lastContactAtMillis;
	}

	/**
	 * Return whether the newest records of all keys were read at least once.
	 * @return {@code true} after the first complete listing
	 */
	public boolean hasCompletedListing() {
		return this.listingCompleted;
	}

}
