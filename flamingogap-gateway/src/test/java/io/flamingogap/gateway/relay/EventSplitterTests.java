package io.flamingogap.gateway.relay;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link EventSplitter}.
 */
class EventSplitterTests {

	private static final int LONG_EVENT_BYTES = 262_144;

	private final EventSplitter splitter = new EventSplitter();

	private String append(String text) {
		ByteBuf chunk = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
		ByteBuf events = this.splitter.append(chunk);
		chunk.release();
		String appended = events.toString(StandardCharsets.US_ASCII);
		events.release();
		return appended;
	}

	// One long event in small pieces kept a node busy for more than 45 s, in which it
	// served nobody.
	@Test
	@Timeout(value = 10, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
	void effortOfAnEventInPiecesGrowsWithItsLengthOnly() {
		ByteBuf piece = Unpooled.wrappedBuffer(new byte[] { 'x' });
		for (int i = 0; i < LONG_EVENT_BYTES; i++) {
			this.splitter.append(piece.duplicate()).release();
		}
		assertThat(this.splitter.pendingBytes(), is(LONG_EVENT_BYTES));
		assertThat(append("\n\n").length(), is(LONG_EVENT_BYTES + 2));
		assertThat(this.splitter.pendingBytes(), is(0));
	}

	@ParameterizedTest
	@ValueSource(strings = { "data: a\n\ndata: b", "data: a\r\n\r\ndata: b" })
	void endOfAnEventIsFoundWhereverItIsCut(String text) {
		int end = text.indexOf("data: b");
		for (int first = 0; first <= end; first++) {
			for (int second = first; second <= end; second++) {
				String events = append(text.substring(0, first)) + append(text.substring(first, second))
						+ append(text.substring(second));
				assertThat("cut at " + first + " and " + second, events, is(text.substring(0, end)));
				assertThat(this.splitter.pendingBytes(), is(text.length() - end));
				this.splitter.discardIncomplete();
			}
		}
	}

}
