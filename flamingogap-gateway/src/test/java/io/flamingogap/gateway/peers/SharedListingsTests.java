package io.flamingogap.gateway.peers;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordStore.Page;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreStream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.sameInstance;

/**
 * Tests of {@link SharedListings}: the load of all nodes of a zone that list a stream at
 * about the same time.
 */
class SharedListingsTests {

	private static final long NOW_MILLIS = 100_000;

	private final ScriptedStore store = new ScriptedStore();

	private final SharedListings listings = new SharedListings(this.store);

	private CompletableFuture<Page> list(StoreStream stream, long nowMillis) {
		return this.listings.list(stream, Optional.empty(), nowMillis);
	}

	@Test
	void oneCallAnswersAllNodesOfAZone() {
		for (int node = 0; node < 15; node++) {
			assertThat(list(StoreStream.SERVERS, NOW_MILLIS + node * 10).join().endOffset(), is(7L));
		}
		assertThat(this.store.listingCount(), is(1));
	}

	@Test
	void listingIsNotSharedForLong() {
		list(StoreStream.SERVERS, NOW_MILLIS);
		list(StoreStream.SERVERS, NOW_MILLIS + SharedListings.MAX_AGE_MILLIS);
		assertThat(this.store.listingCount(), is(2));
	}

	@Test
	void streamsAndPagesAreListedSeparately() {
		list(StoreStream.SERVERS, NOW_MILLIS);
		list(StoreStream.OPERATOR, NOW_MILLIS);
		this.listings.list(StoreStream.SERVERS, Optional.of("a"), NOW_MILLIS);
		assertThat(this.store.listingCount(), is(3));
	}

	@Test
	void listingThatEndsBeforeADroppedRecordIsForgotten() {
		list(StoreStream.SERVERS, NOW_MILLIS);
		this.listings.forgetUpTo(StoreStream.SERVERS, 6);
		list(StoreStream.SERVERS, NOW_MILLIS);
		assertThat(this.store.listingCount(), is(1));
		this.listings.forgetUpTo(StoreStream.SERVERS, 7);
		list(StoreStream.SERVERS, NOW_MILLIS);
		assertThat(this.store.listingCount(), is(2));
	}

	@Test
	void failureIsSharedOnlyWhileTheCallIsOpen() {
		CompletableFuture<Page> pending = new CompletableFuture<>();
		SharedListings slow = new SharedListings(new ForwardingStore(this.store) {
			@Override
			public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
				return pending.isDone() ? super.listNewest(stream, after) : pending;
			}
		});
		CompletableFuture<Page> first = slow.list(StoreStream.SERVERS, Optional.empty(), NOW_MILLIS);
		assertThat(slow.list(StoreStream.SERVERS, Optional.empty(), NOW_MILLIS + 5_000), sameInstance(first));
		pending.completeExceptionally(new StoreException(StoreException.Reason.UNAVAILABLE, "down"));
		assertThat(slow.list(StoreStream.SERVERS, Optional.empty(), NOW_MILLIS + 5_000), not(sameInstance(first)));
	}

}
