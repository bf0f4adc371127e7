package io.flamingogap.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import org.junit.jupiter.api.Test;

import io.flamingogap.gateway.memory.AcceptedConnection;
import io.flamingogap.gateway.memory.AcceptedConnections;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests of {@link RequestCollector}.
 */
class RequestCollectorTests {

	private static final int MAX_BYTES = 100_000;

	private static final String CHUNKED_HEAD = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

	private final AcceptedConnections connections = new AcceptedConnections(10, MAX_BYTES, () -> 0, (name) -> {
	}, new SplittableRandom(1));

	private final List<RequestCollector> refused = new ArrayList<>();

	private EmbeddedChannel connect() {
		Owner owner = new Owner();
		RequestCollector collector = new RequestCollector(this.connections, owner);
		owner.collector = collector;
		return new EmbeddedChannel(collector.new Meter(),
				new HttpServerCodec(collector.countLines(new HttpDecoderConfig())), collector,
				new HttpObjectAggregator(1_000_000));
	}

	private static void receive(EmbeddedChannel channel, String text) {
		channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
	}

	@Test
	void bodyInPiecesIsCollectedUnchanged() {
		EmbeddedChannel channel = connect();
		StringBuilder body = new StringBuilder();
		receive(channel, CHUNKED_HEAD);
		for (int i = 0; i < 40_000; i++) {
			char next = (char) ('a' + i % 26);
			body.append(next);
			receive(channel, "1;x=y\r\n" + next + "\r\n");
		}
		receive(channel, "0\r\nX-End: end\r\n\r\n");
		FullHttpRequest request = channel.readInbound();
		assertThat(request.content().toString(StandardCharsets.ISO_8859_1), is(body.toString()));
		assertThat(request.trailingHeaders().get("X-End"), is("end"));
		assertThat(this.connections.requestBytes(), is(0L));
		assertThat(request.release(), is(true));
	}

	@Test
	void tinyChunksAreHeldInFewBytes() {
		EmbeddedChannel channel = connect();
		receive(channel, CHUNKED_HEAD);
		for (int i = 0; i < 40_000; i++) {
			receive(channel, "1\r\nx\r\n");
		}
		assertThat(this.connections.requestBytes(), allOf(greaterThanOrEqualTo(40_000L), lessThanOrEqualTo(60_000L)));
	}

	@Test
	void requestIsRefusedWhenTheLimitIsExceeded() {
		EmbeddedChannel first = connect();
		EmbeddedChannel second = connect();
		String head = "POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n";
		receive(first, head + "x".repeat(60_000));
		receive(second, head + "x".repeat(60_000));
		assertThat(this.refused.size(), is(1));
		assertThat(this.connections.requestBytes(), lessThanOrEqualTo((long) MAX_BYTES));
		receive(second, "x".repeat(30_000) + head);
		assertThat(second.readInbound(), is(nullValue()));
		receive(first, "x".repeat(30_000));
		FullHttpRequest request = first.readInbound();
		assertThat(request.content().readableBytes(), is(90_000));
		request.release();
	}

	@Test
	void headOfManyShortLinesIsCountedByItsLines() {
		EmbeddedChannel channel = connect();
		receive(channel, "GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(400));
		assertThat(this.connections.requestBytes(), greaterThanOrEqualTo(399 * 160L));
	}

	@Test
	void linesBehindACompleteRequestAreCounted() {
		EmbeddedChannel channel = connect();
		receive(channel, "GET / HTTP/1.1\r\na:b\r\n\r\n");
		assertThat(this.connections.requestBytes(), is(0L));
		receive(channel, "GET / HTTP/1.1\r\na:b\r\n\r\nGET / HTTP/1.1\r\n" + "a:b\r\n".repeat(400));
		assertThat(this.connections.requestBytes(), greaterThanOrEqualTo(399 * 160L));
	}

	@Test
	void linesOfATrailerAreCounted() {
		EmbeddedChannel channel = connect();
		receive(channel, CHUNKED_HEAD + "0\r\n" + "a:b\r\n".repeat(400));
		assertThat(this.connections.requestBytes(), greaterThanOrEqualTo(399 * 160L));
	}

	@Test
	void shortBodyDoesNotKeepTheReadBuffer() {
		EmbeddedChannel channel = connect();
		ByteBuf received = Unpooled.buffer(65_536);
		received.writeCharSequence("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", StandardCharsets.ISO_8859_1);
		channel.writeInbound(received);
		FullHttpRequest request = channel.readInbound();
		assertThat(received.refCnt(), is(0));
		assertThat(request.content().toString(StandardCharsets.ISO_8859_1), is("abc"));
		request.release();
	}

	@Test
	void closedConnectionHoldsNothing() {
		EmbeddedChannel channel = connect();
		receive(channel, CHUNKED_HEAD + "4\r\nabcd\r\n");
		channel.close();
		assertThat(this.connections.requestBytes(), is(0L));
		assertThat(this.connections.size(), is(0));
	}

	private final class Owner implements AcceptedConnection {

		private RequestCollector collector;

		@Override
		public boolean isServing() {
			return false;
		}

		@Override
		public boolean hasUnsentBytes() {
			return false;
		}

		@Override
		public void refuseArriving() {
			RequestCollectorTests.this.refused.add(this.collector);
			this.collector.discard();
		}

		@Override
		public void closeIdle() {
		}

	}

}
