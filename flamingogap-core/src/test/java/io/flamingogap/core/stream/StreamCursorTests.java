package io.flamingogap.core.stream;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Unit tests for {@link StreamCursor} and {@link EventId}.
 */
class StreamCursorTests {

	@Test
	void foreignDuplicateAndMissingEventsAreDetected() {
		StreamCursor cursor = new StreamCursor("mine", 0);
		assertThat(cursor.accept("other", 0, false), is(EventVerdict.FOREIGN));
		assertThat(cursor.accept("mine", 0, false), is(EventVerdict.PASS));
		assertThat(cursor.accept("mine", 0, false), is(EventVerdict.DUPLICATE));
		assertThat(cursor.accept("mine", 2, false), is(EventVerdict.GAP));
		assertThat(cursor.nextPosition(), is(1L));
	}

	@Property(tries = 10_000, seed = "20261204")
	void eachOwnEventPassesOnceAndInOrder(@ForAll @Size(max = 60) List<@IntRange(max = 19) Integer> events) {
		StreamCursor cursor = new StreamCursor("mine", 0);
		List<Long> passed = new ArrayList<>();
		for (int event : events) {
			long position = event / 2;
			boolean own = event % 2 == 0;
			if (cursor.accept(own ? "mine" : "other", position, position == 9) == EventVerdict.PASS) {
				assertThat(own, is(true));
				passed.add(position);
			}
		}
		for (int i = 0; i < passed.size(); i++) {
			assertThat(passed.get(i), is((long) i));
		}
		assertThat(cursor.isComplete(), is(passed.size() == 10));
	}

	@Test
	void formattedEventIdsCanBeParsed() {
		EventId id = new EventId("4f1c-9a", "v2", 17, false);
		assertThat(EventId.parse(id.toString()).orElseThrow(), is(id));
		EventId end = new EventId("4f1c-9a", "v2", 18, true);
		assertThat(EventId.parse(end.toString()).orElseThrow(), is(end));
		assertThat(EventId.parse("anything else").isPresent(), is(false));
	}

}
