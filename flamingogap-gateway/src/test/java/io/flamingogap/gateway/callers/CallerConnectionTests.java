package io.flamingogap.gateway.callers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.gateway.memory.AcceptedConnections;
import io.flamingogap.gateway.memory.AnswerMemory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests of {@link CallerConnection}.
 */
class CallerConnectionTests {

	private final List<CallerExchange> exchanges = new ArrayList<>();

	private final List<String> started = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel(
			new CallerConnection(new StubProtocol(), new RecordingHandler(), new AnswerMemory(1_048_576),
					new AcceptedConnections(10, 1_048_576, () -> 0, (name) -> {
					}, new SplittableRandom(1))));

	private void receive(String uri) {
		this.channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri));
	}

	private void respond(int exchange) {
		this.exchanges.get(exchange)
			.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.copiedBuffer(new byte[] { 1 }));
	}

	@Test
	void pipelinedRequestsStartInTheOrderOfTheirArrival() {
		receive("/1");
		receive("/2");
		receive("/3");
		respond(0);
		this.channel.runPendingTasks();
		respond(1);
		this.channel.runPendingTasks();
		assertThat(this.started, is(List.of("/1", "/2", "/3")));
	}

	/**
	 * A waiting request starts in a task of its own. One that is read before the task
	 * runs must not overtake it, since the caller matches responses by their order.
	 */
	@Test
	void laterRequestDoesNotOvertakeAWaitingOne() {
		receive("/1");
		receive("/2");
		respondWithoutRunningTasks(0);
		receiveWithoutRunningTasks("/3");
		this.channel.runPendingTasks();
		assertThat(this.started, is(List.of("/1", "/2")));
		respond(1);
		this.channel.runPendingTasks();
		assertThat(this.started, is(List.of("/1", "/2", "/3")));
	}

	private void respondWithoutRunningTasks(int exchange) {
		respond(exchange);
	}

	private void receiveWithoutRunningTasks(String uri) {
		this.channel.pipeline().fireChannelRead(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri));
	}

	@Test
	void readTimeoutIsAnswered() {
		this.channel.pipeline().fireUserEventTriggered(RequestReadTimeout.EXPIRED);
		this.channel.runPendingTasks();
		FullHttpResponse response = this.channel.readOutbound();
		assertThat(response.status(), is(HttpResponseStatus.REQUEST_TIMEOUT));
		assertThat(this.channel.isOpen(), is(false));
	}

	@Test
	void readTimeoutDuringAResponseClosesAfterIt() {
		receive("/1");
		this.exchanges.get(0).beginResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
		this.exchanges.get(0).writeChunk(Unpooled.copiedBuffer(new byte[] { 1 }));
		this.channel.readOutbound();
		this.channel.readOutbound();
		this.channel.pipeline().fireUserEventTriggered(RequestReadTimeout.EXPIRED);
		this.channel.runPendingTasks();
		assertThat(this.channel.readOutbound(), is(nullValue()));
		assertThat(this.channel.isOpen(), is(true));
		this.exchanges.get(0).endResponse();
		this.channel.runPendingTasks();
		assertThat(this.channel.isOpen(), is(false));
	}

	private static final class StubProtocol implements CallerProtocol {

		@Override
		public Either<String, CallerRequest> parseRequest(FullHttpRequest request) {
			return Either.right(new CallerRequest("id", request.method(), request.uri(), "host", Optional.empty(),
					OptionalLong.empty(), PromptMetadata.NONE, false, request.headers(), request.content()));
		}

		@Override
		public void writeRetryAfter(HttpHeaders headers, long millis) {
		}

	}

	private final class RecordingHandler implements CallerRequestHandler {

		@Override
		public CallerConnectionListener handle(CallerRequest request, CallerExchange exchange) {
			CallerConnectionTests.this.started.add(request.uri());
			CallerConnectionTests.this.exchanges.add(exchange);
			return new CallerConnectionListener() {
				@Override
				public void onCallerDisconnected() {
				}

				@Override
				public void onCallerWritable() {
				}
			};
		}

		@Override
		public boolean allowsKeepAlive() {
			return true;
		}

	}

}
