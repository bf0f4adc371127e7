package io.flamingogap.gateway.cloud;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;

/**
 * Model of a store with the stream of the duties and the group that assigns them. It
 * loses answers, executes calls late, goes away, and returns from a copy of some seconds
 * ago. Calls that are executed late survive a return.
 */
final class ReturningStore {

	private static final long TIMEOUT_MILLIS = 1_500;

	private static final long MAX_LATE_MILLIS = 8_000;

	private final SplittableRandom random;

	private final EventLoop loop;

	private final LongSupplier nowMillis;

	private final boolean numbersTimelines;

	private final List<Copy> copies = new ArrayList<>();

	private final List<AcknowledgedAppend> acknowledgedAppends = new ArrayList<>();

	private State state = new State(List.of(), "", 0, 0);

	private long timeline;

	private long executions;

	private boolean down;

	private boolean faulty = true;

	ReturningStore(SplittableRandom random, EventLoop loop, LongSupplier nowMillis, boolean numbersTimelines) {
		this.random = random;
		this.loop = loop;
		this.nowMillis = nowMillis;
		this.numbersTimelines = numbersTimelines;
	}

	/**
	 * Return the appends whose answer reached the caller and was of the timeline that the
	 * caller knew when it made the call.
	 * @return the appends in the order of their execution
	 */
	List<AcknowledgedAppend> acknowledgedAppends() {
		return this.acknowledgedAppends.stream()
			.sorted(Comparator.comparingLong(AcknowledgedAppend::executionNumber))
			.toList();
	}

	void setDown(boolean newDown) {
		this.down = newDown;
	}

	void setFaulty(boolean newFaulty) {
		this.faulty = newFaulty;
	}

	void takeCopy() {
		this.copies.add(new Copy(this.nowMillis.getAsLong(), this.state));
	}

	void returnFromCopy(long minAgeMillis) {
		this.copies.stream()
			.filter((copy) -> copy.takenAtMillis <= this.nowMillis.getAsLong() - minAgeMillis)
			.reduce((first, second) -> second)
			.ifPresent((copy) -> {
				this.state = copy.state;
				this.timeline += this.numbersTimelines ? 1 : 0;
			});
	}

	void reassignTo(String member) {
		this.state = new State(this.state.records, member, this.state.generation + 1, this.nowMillis.getAsLong());
	}

	RecordStore clientOf(String machine, BooleanSupplier alive) {
		return new Client(machine, alive);
	}

	/**
	 * An append that was acknowledged.
	 *
	 * @param executionNumber the number of the append in the order of execution
	 * @param machine the name of the caller's machine
	 * @param entry the record
	 */
	record AcknowledgedAppend(long executionNumber, String machine, StoredRecord entry) {
	}

	private record Copy(long takenAtMillis, State state) {
	}

	private record State(List<StoredRecord> records, String holder, long generation, long holderSeenAtMillis) {
	}

	private record Answer<T>(T body, long timeline, long executionNumber) {
	}

	private final class Client implements RecordStore {

		private final String machine;

		private final BooleanSupplier alive;

		private long knownTimeline = UNNUMBERED_TIMELINE;

		private Client(String machine, BooleanSupplier alive) {
			this.machine = machine;
			this.alive = alive;
		}

		@Override
		public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
			return send(() -> ReturningStore.this.state.records).thenApply((answer) -> {
				Map<String, StoredRecord> newest = new LinkedHashMap<>();
				answer.body.forEach((entry) -> newest.put(entry.key(), entry));
				return new Page(List.copyOf(newest.values()), false, answer.body.size(), this.knownTimeline);
			});
		}

		@Override
		public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
				OptionalLong expectedOffset) {
			long timelineAtCall = this.knownTimeline;
			return send(() -> {
				List<StoredRecord> records = new ArrayList<>(ReturningStore.this.state.records);
				if (expectedOffset.isPresent() && expectedOffset.getAsLong() != records.size()) {
					throw new StoreException(Reason.CONFLICT, "ends at " + records.size());
				}
				StoredRecord entry = new StoredRecord(key, value, records.size());
				records.add(entry);
				State old = ReturningStore.this.state;
				ReturningStore.this.state = new State(List.copyOf(records), old.holder, old.generation,
						old.holderSeenAtMillis);
				return entry;
			}).thenApply((answer) -> {
				if (this.knownTimeline == timelineAtCall) {
					ReturningStore.this.acknowledgedAppends
						.add(new AcknowledgedAppend(answer.executionNumber, this.machine, answer.body));
				}
				return answer.body.offset();
			});
		}

		@Override
		public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
			return send(() -> {
				State old = ReturningStore.this.state;
				long now = ReturningStore.this.nowMillis.getAsLong();
				if (old.holder.equals(member)) {
					ReturningStore.this.state = new State(old.records, member, old.generation, now);
				}
				else if (now - old.holderSeenAtMillis > ttlMillis || old.holder.isEmpty()) {
					reassignTo(member);
				}
				State current = ReturningStore.this.state;
				return new GroupView(current.generation, current.holder.equals(member));
			}).thenApply(Answer::body);
		}

		private <T> CompletableFuture<Answer<T>> send(Supplier<T> operation) {
			CompletableFuture<Answer<T>> result = new CompletableFuture<>();
			if (!this.alive.getAsBoolean()) {
				return result;
			}
			ReturningStore store = ReturningStore.this;
			int kind = store.faulty ? store.random.nextInt(20) : 19;
			if (store.down) {
				after(50, () -> fail(result, new StoreException(Reason.UNAVAILABLE, "down")));
			}
			else if (kind <= 1) {
				after(TIMEOUT_MILLIS, () -> fail(result, new StoreException(Reason.UNKNOWN, "no answer")));
				long delayMillis = (kind == 0) ? store.random.nextLong(MAX_LATE_MILLIS) : store.random.nextLong(200);
				after(delayMillis, () -> executeLate(operation));
			}
			else {
				after(store.random.nextLong(150), () -> execute(operation, result));
			}
			return result;
		}

		private <T> void executeLate(Supplier<T> operation) {
			if (!ReturningStore.this.down) {
				try {
					operation.get();
				}
				catch (StoreException ex) {
					// The condition of the append no longer holds.
				}
			}
		}

		private <T> void execute(Supplier<T> operation, CompletableFuture<Answer<T>> result) {
			ReturningStore store = ReturningStore.this;
			long answerMillis = (store.random.nextInt(6) == 0) ? store.random.nextLong(TIMEOUT_MILLIS)
					: store.random.nextLong(100);
			if (store.down) {
				fail(result, new StoreException(Reason.UNAVAILABLE, "down"));
				return;
			}
			try {
				Answer<T> answer = new Answer<>(operation.get(), store.timeline, store.executions++);
				after(answerMillis, () -> {
					if (this.alive.getAsBoolean()) {
						this.knownTimeline = Math.max(this.knownTimeline, answer.timeline);
						result.complete(answer);
					}
				});
			}
			catch (StoreException ex) {
				long timeline = store.timeline;
				after(answerMillis, () -> {
					this.knownTimeline = Math.max(this.knownTimeline, timeline);
					fail(result, ex);
				});
			}
		}

		private void fail(CompletableFuture<?> result, StoreException failure) {
			if (this.alive.getAsBoolean()) {
				result.completeExceptionally(failure);
			}
		}

		private void after(long delayMillis, Runnable task) {
			ReturningStore.this.loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Void> leave(String member) {
			return new CompletableFuture<>();
		}

		@Override
		public long timeline() {
			return this.knownTimeline;
		}

	}

}
