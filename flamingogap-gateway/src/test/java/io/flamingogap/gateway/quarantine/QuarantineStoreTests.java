package io.flamingogap.gateway.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.quarantine.QuarantineRule;
import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.NodeClock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link QuarantineStore}: which rules hold when the store returns from an
 * earlier copy of itself.
 */
class QuarantineStoreTests {

	private static final QuarantineRule RULE = QuarantineRule.of("engine", List.of("part"));

	private static final String KEY = QuarantineCodec.keyOf(RULE);

	private final AppendingStore store = new AppendingStore();

	private final List<Long> storedMillis = new ArrayList<>();

	private long nowMillis = 1_000_000;

	private final QuarantineStore quarantine = new QuarantineStore(this.store,
			new NodeClock(() -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis), () -> this.nowMillis));

	@BeforeEach
	void listen() {
		this.quarantine.setListener((rule, remainingMillis) -> this.storedMillis.add(remainingMillis), (rule) -> {
		});
	}

	private StoredRecord ruleRecord(long remainingMillis) {
		return new StoredRecord(KEY, Optional.of(QuarantineCodec.encode(RULE, this.nowMillis + remainingMillis)), 1);
	}

	private static StoredRecord removal() {
		return new StoredRecord(KEY, Optional.empty(), 2);
	}

	// A rule that the store had lost didn't hold at nodes that started later.
	@Test
	void ruleInForceIsStoredAgainOnce() {
		this.quarantine.put(RULE, 60_000);
		this.store.appended.clear();
		this.nowMillis += 10_000;
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, contains(KEY + " lasts 50000"));
	}

	@Test
	void ruleThatHasEndedIsNotStoredAgain() {
		this.quarantine.put(RULE, 60_000);
		this.store.appended.clear();
		this.nowMillis += 60_000;
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, is(empty()));
	}

	@Test
	void ruleThatAnotherNodeRemovedIsNotStoredAgain() {
		this.quarantine.put(RULE, 60_000);
		this.quarantine.accept(removal());
		this.store.appended.clear();
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, is(empty()));
	}

	@Test
	void ruleOfAnotherNodeIsNotStoredAgain() {
		this.quarantine.accept(ruleRecord(60_000));
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, is(empty()));
	}

	// A rule that this node had removed came into force again from the copy.
	@Test
	void removalIsStoredAgainAndTheRuleOfTheCopyIgnored() {
		StoredRecord copied = ruleRecord(60_000);
		this.quarantine.accept(copied);
		this.quarantine.remove(RULE);
		this.store.appended.clear();
		this.storedMillis.clear();
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, contains(KEY + " removed"));
		assertThat(this.quarantine.accept(copied), is(true));
		assertThat(this.storedMillis, is(empty()));
	}

	@Test
	void ruleThatBeginsAgainAfterItsRemovalCounts() {
		this.quarantine.accept(ruleRecord(60_000));
		this.quarantine.remove(RULE);
		this.quarantine.accept(removal());
		this.storedMillis.clear();
		this.nowMillis += 1_000;
		this.quarantine.accept(ruleRecord(60_000));
		assertThat(this.storedMillis, contains(60_000L));
	}

	// Otherwise a rule that has begun again is removed by the removal before it.
	@Test
	void removalIsNotStoredAgainOnceTheRuleHasBegunAgain() {
		this.quarantine.put(RULE, 60_000);
		this.quarantine.remove(RULE);
		this.quarantine.put(RULE, 60_000);
		this.store.appended.clear();
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, contains(KEY + " lasts 60000"));
	}

	// Otherwise a removed rule is stored again until the removal has been read.
	@Test
	void ruleThatThisNodeRemovedIsNotStoredAgain() {
		this.quarantine.put(RULE, 60_000);
		this.quarantine.remove(RULE);
		this.store.appended.clear();
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, contains(KEY + " removed"));
	}

	// Otherwise a node forgets its own removal when it reads it.
	@Test
	void removalIsStoredAgainAfterItWasRead() {
		this.quarantine.accept(ruleRecord(60_000));
		this.quarantine.remove(RULE);
		this.quarantine.accept(removal());
		this.store.appended.clear();
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, contains(KEY + " removed"));
	}

	// Otherwise another node's removal of an earlier rule hides the one by this node.
	@Test
	void removalIsStoredAgainThoughAnotherNodeRemovedTheRuleBefore() {
		this.quarantine.accept(ruleRecord(60_000));
		this.quarantine.accept(removal());
		this.nowMillis += 1_000;
		this.quarantine.accept(ruleRecord(60_000));
		this.quarantine.remove(RULE);
		this.store.appended.clear();
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, contains(KEY + " removed"));
	}

	// Otherwise each return adds records for rules that ended long ago.
	@Test
	void removalOfARuleThatHasEndedIsNotStoredAgain() {
		this.quarantine.put(RULE, 60_000);
		this.quarantine.remove(RULE);
		this.store.appended.clear();
		this.nowMillis += 60_000;
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, is(empty()));
	}

	// Otherwise a rule that another node removed comes into force from the copy.
	@Test
	void ruleThatAnotherNodeRemovedDoesNotComeIntoForceFromTheCopy() {
		StoredRecord copied = ruleRecord(60_000);
		this.quarantine.accept(copied);
		this.quarantine.accept(removal());
		this.storedMillis.clear();
		this.quarantine.accept(copied);
		assertThat(this.storedMillis, is(empty()));
	}

	// Otherwise a node that once stored a rule stores another node's again.
	@Test
	void ruleOfAnotherNodeIsNotStoredAgainByOneThatStoredItBefore() {
		this.quarantine.put(RULE, 60_000);
		this.quarantine.accept(removal());
		this.nowMillis += 1_000;
		this.quarantine.accept(ruleRecord(60_000));
		this.store.appended.clear();
		this.quarantine.onStoreRestored();
		assertThat(this.store.appended, is(empty()));
	}

	/**
	 * A store that describes what is appended.
	 */
	private final class AppendingStore extends ForwardingStore {

		private final List<String> appended = new ArrayList<>();

		private AppendingStore() {
			super(new ScriptedStore());
		}

		@Override
		public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
				OptionalLong expectedOffset) {
			this.appended.add(key + value.map((bytes) -> " lasts "
					+ (QuarantineCodec.decodeRule(bytes).get().endsAtMillis() - QuarantineStoreTests.this.nowMillis))
				.orElse(" removed"));
			return CompletableFuture.completedFuture(0L);
		}

	}

}
