package io.flamingogap.gateway.store;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.gateway.log.LogLine;

/**
 * Follows a stream: lists the newest records, then reads on. Lists again when records
 * that it hasn't read are gone. Used on the event loop only.
 */
public final class RecordFollower {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long the store may hold a read. A store that fell silent for this node stays
	 * unnoticed for so long, within the bound to put a configuration in force.
	 */
	private static final long WAIT_MILLIS = 1_000;

	/** The pause after a failed call; doubles up to the most. */
	private static final long MIN_RETRY_MILLIS = 100;

	private static final long MAX_RETRY_MILLIS = 800;

	private final EventLoop loop;

	private final RecordStore store;

	private final StoreStream stream;

	private final long pauseMillis;

	private long replayRecords;

	private final RecordListener listener;

	private final LongSupplier steadyMillis;

	private long retryMillis = MIN_RETRY_MILLIS;

	private long contactAtMillis;

	private long disturbedAtMillis = Long.MIN_VALUE / 2;

	private boolean reachable = true;

	private boolean listed;

	/**
	 * Create a follower.
	 * @param loop the event loop
	 * @param store the store
	 * @param stream the stream
	 * @param pauseMillis the pause after records were read from the store itself, so that
	 * several come at once
	 * @param listener takes the records
	 * @param steadyMillis tells the present time
	 */
	public RecordFollower(EventLoop loop, RecordStore store, StoreStream stream, long pauseMillis,
			RecordListener listener, LongSupplier steadyMillis) {
		this.loop = loop;
		this.store = store;
		this.stream = stream;
		this.pauseMillis = pauseMillis;
		this.listener = listener;
		this.steadyMillis = steadyMillis;
	}

	/**
	 * Read records again that came before the first listing, if the store still has them.
	 * @param records the number of records
	 * @return this follower
	 */
	public RecordFollower replaying(long records) {
		this.replayRecords = records;
		return this;
	}

	/**
	 * Begin to follow.
	 */
	public void start() {
		list(Optional.empty(), new HashSet<>(), Long.MAX_VALUE);
	}

	private void list(Optional<String> after, Set<String> keys, long end) {
		this.store.newest(this.stream, after).whenComplete((page, failure) -> {
			if (failure != null) {
				onFailure(failure, this::start);
				return;
			}
			onContact();
			page.records().forEach((entry) -> {
				keys.add(entry.key());
				this.listener.onRecord(entry);
			});
			long firstEnd = Math.min(end, page.end());
			if (page.hasMore() && !page.records().isEmpty()) {
				list(Optional.of(page.records().get(page.records().size() - 1).key()), keys, firstEnd);
				return;
			}
			this.listener.onListed(keys, firstEnd);
			this.listed = true;
			long from = Math.max(0, firstEnd - this.replayRecords);
			this.replayRecords = 0;
			read(from);
		});
	}

	private void read(long from) {
		this.store.read(this.stream, from, this.reachable ? WAIT_MILLIS : 0).whenComplete((batch, failure) -> {
			if (failure != null && StoreException.of(failure).reason() == StoreException.Reason.DROPPED) {
				logger.atInfo()
					.log("%s",
							LogLine.of("records dropped by the store")
								.with("stream", this.stream.name())
								.with("offset", from));
				start();
			}
			else if (failure != null) {
				onFailure(failure, () -> read(from));
			}
			else {
				onContact();
				batch.records().forEach(this.listener::onRecord);
				boolean isPriced = !batch.records().isEmpty() && !batch.relayed();
				later(() -> read(batch.next()), isPriced ? this.pauseMillis : 0);
			}
		});
	}

	private void onContact() {
		long nowMillis = this.steadyMillis.getAsLong();
		this.contactAtMillis = nowMillis;
		this.retryMillis = MIN_RETRY_MILLIS;
		if (!this.reachable) {
			this.reachable = true;
			this.disturbedAtMillis = nowMillis;
			logger.atInfo().log("%s", LogLine.of("store reached again").with("stream", this.stream.name()));
		}
	}

	private void onFailure(Throwable failure, Runnable retry) {
		this.disturbedAtMillis = this.steadyMillis.getAsLong();
		if (this.reachable) {
			this.reachable = false;
			logger.atWarning()
				.log("%s",
						LogLine.of("store lost")
							.with("stream", this.stream.name())
							.with("reason", String.valueOf(StoreException.of(failure).getMessage())));
		}
		later(retry, this.retryMillis);
		this.retryMillis = Math.min(MAX_RETRY_MILLIS, this.retryMillis * 2);
	}

	private void later(Runnable task, long delayMillis) {
		if (delayMillis == 0) {
			this.loop.execute(task);
		}
		else {
			this.loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Return when a call failed last, or succeeded for the first time after failures.
	 * @return the time
	 */
	public long lastDisruptionAtMillis() {
		return this.disturbedAtMillis;
	}

	/**
	 * Return when the store last answered.
	 * @return the time
	 */
	public long lastContactAtMillis() {
		return this.contactAtMillis;
	}

	/**
	 * Return whether all records were read once.
	 * @return {@code true} after the first listing
	 */
	public boolean hasCompletedListing() {
		return this.listed;
	}

}
