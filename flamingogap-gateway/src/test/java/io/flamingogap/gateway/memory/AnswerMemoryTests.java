package io.flamingogap.gateway.memory;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.limits.HeldBytes;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link AnswerMemory}.
 */
class AnswerMemoryTests {

	private static final long MAX_BYTES = 100_000;

	private final AnswerMemory memory = new AnswerMemory(MAX_BYTES);

	private final List<String> released = new ArrayList<>();

	private BytesHolder holder(String name) {
		return () -> this.released.add(name);
	}

	@Test
	void shortAnswersAreNotCounted() {
		this.memory.set(holder("first"), HeldBytes.Kind.INCOMPLETE, 4_000);
		assertThat(this.memory.totalBytes(), is(0L));
	}

	@Test
	void holderThatShrinksIsNoLongerCounted() {
		BytesHolder first = holder("first");
		this.memory.set(first, HeldBytes.Kind.INCOMPLETE, 50_000);
		this.memory.set(first, HeldBytes.Kind.INCOMPLETE, 100);
		assertThat(this.memory.totalBytes(), is(0L));
	}

	@Test
	void holdersAreReleasedUntilTheLimitIsKept() {
		this.memory.set(holder("first"), HeldBytes.Kind.INCOMPLETE, 40_000);
		this.memory.set(holder("second"), HeldBytes.Kind.INCOMPLETE, 50_000);
		this.memory.set(holder("third"), HeldBytes.Kind.UNREAD, 80_000);
		assertThat(this.released, is(List.of("second", "first")));
		assertThat(this.memory.totalBytes(), lessThanOrEqualTo(MAX_BYTES));
	}

	/**
	 * A plain answer that is given up is forwarded and then waits for its caller.
	 */
	@Test
	void holderMayPassItsBytesToAnotherWhenItIsReleased() {
		BytesHolder caller = holder("caller");
		BytesHolder answer = () -> {
			this.released.add("answer");
			this.memory.set(caller, HeldBytes.Kind.UNREAD, 90_000);
		};
		this.memory.set(answer, HeldBytes.Kind.INCOMPLETE, 90_000);
		this.memory.set(holder("other"), HeldBytes.Kind.INCOMPLETE, 20_000);
		assertThat(this.released, is(List.of("answer", "other")));
		assertThat(this.memory.totalBytes(), is(90_000L));
	}

}
