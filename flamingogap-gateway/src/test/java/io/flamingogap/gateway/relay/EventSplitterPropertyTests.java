package io.flamingogap.gateway.relay;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Simulates streams that break at any byte and resume at another server after the last
 * complete event. Guards against events that the caller receives twice, in part or not at
 * all.
 */
class EventSplitterPropertyTests {

	private static final int EVENT_COUNT = 8;

	private static String event(int id, String newline) {
		return "id: " + id + newline + "data: piece " + id + newline + newline;
	}

	private static String eventsAfter(int id, String newline) {
		StringBuilder events = new StringBuilder();
		for (int next = id + 1; next <= EVENT_COUNT; next++) {
			events.append(event(next, newline));
		}
		return events.toString();
	}

	@Property(tries = 10_000, seed = "20261204")
	void callerGetsEachEventOnceAndInOrder(@ForAll @LongRange(max = 10_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		String newline = random.nextBoolean() ? "\n" : "\r\n";
		EventSplitter splitter = new EventSplitter();
		StringBuilder received = new StringBuilder();
		boolean complete = false;
		while (!complete) {
			int resumeAfterId = splitter.lastEventId().map(Integer::parseInt).orElse(0);
			byte[] stream = eventsAfter(resumeAfterId, newline).getBytes(StandardCharsets.US_ASCII);
			complete = random.nextInt(3) == 0;
			int length = complete ? stream.length : random.nextInt(stream.length + 1);
			serve(splitter, stream, length, random, received);
			if (!complete) {
				splitter.discardIncomplete();
			}
		}
		assertThat(received.toString(), is(eventsAfter(0, newline)));
	}

	private static void serve(EventSplitter splitter, byte[] stream, int length, SplittableRandom random,
			StringBuilder received) {
		int sent = 0;
		while (sent < length) {
			int chunkLength = Math.min(length - sent, 1 + random.nextInt(20));
			ByteBuf chunk = Unpooled.wrappedBuffer(stream, sent, chunkLength);
			ByteBuf events = splitter.append(chunk);
			received.append(events.toString(StandardCharsets.US_ASCII));
			events.release();
			chunk.release();
			sent += chunkLength;
		}
	}

}
