package io.flamingogap.gateway.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;

import io.flamingogap.core.quarantine.QuarantineRule;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Keeps the rules of the quarantine in the stream of the node reports, which all nodes
 * follow already.
 */
public final class QuarantineStore {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long the record of a rule stays in the store after its end. */
	private static final long MAX_ENDED_MILLIS = 3_600_000;

	private final RecordStore store;

	private final NodeClock clock;

	private final Map<String, QuarantineRule> rulesByKey = new HashMap<>();

	private final Set<QuarantineRule> storedHere = new HashSet<>();

	private ObjLongConsumer<QuarantineRule> storedListener = (rule, remainingMillis) -> {
	};

	private Consumer<QuarantineRule> removedListener = (rule) -> {
	};

	/**
	 * Create an adapter to the store.
	 * @param store the store
	 * @param clock the clocks of this process
	 */
	public QuarantineStore(RecordStore store, NodeClock clock) {
		this.store = store;
		this.clock = clock;
	}

	/**
	 * Set what is notified of records.
	 * @param onStored receives each rule that is stored, with the rest of its quarantine
	 * in milliseconds
	 * @param onRemoved receives each rule that is removed
	 */
	void setListener(ObjLongConsumer<QuarantineRule> onStored, Consumer<QuarantineRule> onRemoved) {
		this.storedListener = onStored;
		this.removedListener = onRemoved;
	}

	/**
	 * Store a rule. A failure is logged; the rule counts as stored once it is read back.
	 * @param rule the rule
	 * @param remainingMillis how long its quarantine still lasts, in milliseconds
	 */
	void put(QuarantineRule rule, long remainingMillis) {
		this.storedHere.add(rule);
		append(rule, Optional.of(QuarantineCodec.encode(rule, this.clock.timeOfDayMillis() + remainingMillis)));
	}

	/**
	 * Remove a rule. A failure is logged.
	 * @param rule the rule
	 */
	void remove(QuarantineRule rule) {
		append(rule, Optional.empty());
	}

	/**
	 * Remove a rule that has ended by time, unless another node does it.
	 * @param rule the rule
	 */
	void removeIfStoredHere(QuarantineRule rule) {
		if (this.storedHere.remove(rule)) {
			remove(rule);
		}
	}

	private void append(QuarantineRule rule, Optional<byte[]> value) {
		String key = QuarantineCodec.keyOf(rule);
		this.rulesByKey.put(key, rule);
		this.store.append(StoreStream.NODES, key, value, OptionalLong.empty()).exceptionally((failure) -> {
			logger.atInfo()
				.log("%s",
						LogLine.of("quarantine not stored")
							.with("key", key)
							.with("reason", String.valueOf(StoreException.of(failure).getMessage())));
			return -1L;
		});
	}

	/**
	 * Receive a record of the stream, if it is of a rule.
	 * @param entry the record
	 * @return {@code false} if it isn't the record of a rule
	 */
	public boolean accept(StoredRecord entry) {
		if (!entry.key().startsWith(QuarantineCodec.KEY_PREFIX)) {
			return false;
		}
		if (entry.value().isEmpty()) {
			QuarantineRule removed = this.rulesByKey.remove(entry.key());
			if (removed != null) {
				this.removedListener.accept(removed);
			}
			return true;
		}
		Either<String, QuarantineCodec.DecodedRule> decoded = QuarantineCodec.decodeRule(entry.value().get());
		if (decoded.isLeft()) {
			logger.atWarning()
				.log("%s",
						LogLine.of("quarantine unreadable").with("key", entry.key()).with("reason", decoded.getLeft()));
			return true;
		}
		QuarantineRule rule = decoded.get().rule();
		this.rulesByKey.put(entry.key(), rule);
		long remainingMillis = decoded.get().endsAtMillis() - this.clock.timeOfDayMillis();
		if (remainingMillis > 0) {
			this.storedListener.accept(rule, remainingMillis);
		}
		else if (remainingMillis < -MAX_ENDED_MILLIS) {
			// The node that stored the rule didn't live to remove it.
			remove(rule);
		}
		return true;
	}

}
