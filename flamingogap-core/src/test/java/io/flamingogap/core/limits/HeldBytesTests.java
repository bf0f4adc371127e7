package io.flamingogap.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link HeldBytes}.
 */
class HeldBytesTests {

	private final HeldBytes<String> account = new HeldBytes<>(100);

	@Test
	void nothingIsReleasedWithinTheLimit() {
		this.account.set("first", HeldBytes.Kind.INCOMPLETE, 60);
		this.account.set("second", HeldBytes.Kind.UNREAD, 40);
		assertThat(this.account.nextToRelease(), is(Optional.empty()));
	}

	@Test
	void largestHolderIsReleasedFirst() {
		this.account.set("first", HeldBytes.Kind.INCOMPLETE, 60);
		this.account.set("second", HeldBytes.Kind.INCOMPLETE, 30);
		this.account.set("third", HeldBytes.Kind.INCOMPLETE, 11);
		assertThat(this.account.nextToRelease(), is(Optional.of("first")));
	}

	@Test
	void incompleteAnswersAreReleasedBeforeWholeOnes() {
		this.account.set("unread", HeldBytes.Kind.UNREAD, 90);
		this.account.set("incomplete", HeldBytes.Kind.INCOMPLETE, 11);
		assertThat(this.account.nextToRelease(), is(Optional.of("incomplete")));
		this.account.set("incomplete", HeldBytes.Kind.INCOMPLETE, 0);
		this.account.set("unread", HeldBytes.Kind.UNREAD, 101);
		assertThat(this.account.nextToRelease(), is(Optional.of("unread")));
	}

	@Property(tries = 500, seed = "20261205")
	void totalIsTheSumOfWhatIsHeld(@ForAll @LongRange(max = 10_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		HeldBytes<Integer> held = new HeldBytes<>(1_000);
		Map<Integer, Long> expected = new HashMap<>();
		for (int i = 0; i < 200; i++) {
			int holder = random.nextInt(20);
			long bytes = random.nextInt(3) * random.nextInt(100);
			HeldBytes.Kind kind = HeldBytes.Kind.values()[holder % HeldBytes.Kind.values().length];
			held.set(holder, kind, bytes);
			expected.put(holder, bytes);
			long sum = expected.values().stream().mapToLong(Long::longValue).sum();
			assertThat(held.totalBytes(), is(sum));
			assertThat(held.nextToRelease().isPresent(), is(sum > 1_000));
		}
	}

}
