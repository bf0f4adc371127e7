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
 * Streams that break off at any byte and go on at another server.
 */
class EventSplitterPropertyTests {

	private static final int EVENTS = 8;

	private static String event(int id, String newline) {
		return "id: " + id + newline + "data: piece " + id + newline + newline;
	}

	private static String eventsAfter(int id, String newline) {
		StringBuilder events = new StringBuilder();
		for (int next = id + 1; next <= EVENTS; next++) {
			events.append(event(next, newline));
		}
		return events.toString();
	}

	@Property(tries = 10_000, seed = "20261204")
	void callerGetsEachEventOnceAndInOrder(@ForAll @LongRange(max = 10_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		String newline = random.nextBoolean() ? "\n" : "\r\n";
		EventSplitter splitter = new EventSplitter();
		StringBuilder passedOn = new StringBuilder();
		boolean whole = false;
		while (!whole) {
			int from = splitter.lastId().map(Integer::parseInt).orElse(0);
			byte[] stream = eventsAfter(from, newline).getBytes(StandardCharsets.US_ASCII);
			whole = random.nextInt(3) == 0;
			int length = whole ? stream.length : random.nextInt(stream.length + 1);
			serve(splitter, stream, length, random, passedOn);
			if (!whole) {
				splitter.dropIncomplete();
			}
		}
		assertThat(passedOn.toString(), is(eventsAfter(0, newline)));
	}

	private static void serve(EventSplitter splitter, byte[] stream, int length, SplittableRandom random,
			StringBuilder passedOn) {
		int sent = 0;
		while (sent < length) {
			int piece = Math.min(length - sent, 1 + random.nextInt(20));
			ByteBuf bytes = Unpooled.wrappedBuffer(stream, sent, piece);
			ByteBuf complete = splitter.add(bytes);
			passedOn.append(complete.toString(StandardCharsets.US_ASCII));
			complete.release();
			bytes.release();
			sent += piece;
		}
	}

}
