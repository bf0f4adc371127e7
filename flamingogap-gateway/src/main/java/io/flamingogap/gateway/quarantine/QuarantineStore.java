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

	private final Map<String, QuarantineCodec.DecodedRule> rulesByKey = new HashMap<>();

	private final Set<QuarantineRule> storedHere = new HashSet<>();

	/** The rules that were removed before their end. */
	private final Map<String, Removal> removals = new HashMap<>();

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
		long endsAtMillis = this.clock.timeOfDayMillis() + remainingMillis;
		String key = QuarantineCodec.keyOf(rule);
		this.rulesByKey.put(key, new QuarantineCodec.DecodedRule(rule, endsAtMillis));
		this.removals.remove(key);
		append(key, Optional.of(QuarantineCodec.encode(rule, endsAtMillis)));
	}

	/**
	 * Remove a rule. A failure is logged.
	 * @param rule the rule
	 */
	void remove(QuarantineRule rule) {
		this.storedHere.remove(rule);
		String key = QuarantineCodec.keyOf(rule);
		rememberRemoval(key, true);
		append(key, Optional.empty());
	}

	private void rememberRemoval(String key, boolean here) {
		long nowMillis = this.clock.timeOfDayMillis();
		this.removals.values().removeIf((removal) -> removal.endsAtMillis <= nowMillis);
		QuarantineCodec.DecodedRule known = this.rulesByKey.get(key);
		if (known != null && known.endsAtMillis() > nowMillis) {
			this.removals.merge(key, new Removal(known.endsAtMillis(), here),
					(earlier, later) -> new Removal(later.endsAtMillis, earlier.here || later.here));
		}
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

	private void append(String key, Optional<byte[]> value) {
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
	 * Store the rules of this node again that are still in force, and remove those again
	 * that it has removed, because the store has returned from an earlier copy and may
	 * have lost both.
	 */
	public void onStoreRestored() {
		long nowMillis = this.clock.timeOfDayMillis();
		this.rulesByKey.forEach((key, known) -> {
			if (this.storedHere.contains(known.rule()) && known.endsAtMillis() > nowMillis) {
				append(key, Optional.of(QuarantineCodec.encode(known.rule(), known.endsAtMillis())));
			}
		});
		this.removals.forEach((key, removal) -> {
			if (removal.here && removal.endsAtMillis > nowMillis) {
				append(key, Optional.empty());
			}
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
			rememberRemoval(entry.key(), false);
			QuarantineCodec.DecodedRule removed = this.rulesByKey.remove(entry.key());
			if (removed != null) {
				this.storedHere.remove(removed.rule());
				this.removedListener.accept(removed.rule());
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
		Removal removal = this.removals.get(entry.key());
		if (removal != null && decoded.get().endsAtMillis() == removal.endsAtMillis) {
			// The removed record, from a copy of the store that is older than the
			// removal.
			return true;
		}
		QuarantineRule rule = decoded.get().rule();
		this.rulesByKey.put(entry.key(), decoded.get());
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

	/**
	 * The removal of a rule before its end.
	 *
	 * @param endsAtMillis when the quarantine of the rule would have ended, by the time
	 * of day in milliseconds since 1970 UTC
	 * @param here whether this node removed it
	 */
	private record Removal(long endsAtMillis, boolean here) {
	}

}
