package io.flamingogap.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ReadTurns}.
 */
class ReadTurnsTests {

	private final ReadCounter counter = new ReadCounter();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ReadTurns.PacedReader reader = new ReadTurns(this.channel.eventLoop()).newReader();

	ReadTurnsTests() {
		this.channel.config().setAutoRead(false);
		this.channel.pipeline().addLast(this.counter, this.reader);
	}

	private void receive(int bytes) {
		this.channel.pipeline().fireChannelRead(Unpooled.buffer(bytes).writeZero(bytes));
		this.channel.pipeline().fireChannelReadComplete();
	}

	@Test
	void shortReadIsFollowedByAnother() {
		receive(100);
		assertThat(this.counter.reads, is(1));
	}

	// Servers that sent without end kept a node from serving anybody else.
	@Test
	void longReadWaitsForTheNextPassOfTheEventLoop() {
		receive(10_000);
		assertThat(this.counter.reads, is(0));
		this.channel.runScheduledPendingTasks();
		assertThat(this.counter.reads, is(1));
	}

	@Test
	void handlersBehindCannotReadOutOfTurn() {
		receive(10_000);
		this.channel.pipeline().read();
		assertThat(this.counter.reads, is(0));
	}

	@Test
	void disabledConnectionIsNotReadUntilItIsEnabled() {
		this.reader.setEnabled(false);
		receive(10_000);
		this.channel.runScheduledPendingTasks();
		receive(100);
		assertThat(this.counter.reads, is(0));
		this.reader.setEnabled(true);
		assertThat(this.counter.reads, is(1));
	}

	/**
	 * Counts the reads that reach the connection.
	 */
	private static final class ReadCounter extends ChannelDuplexHandler {

		private int reads;

		@Override
		public void read(ChannelHandlerContext context) {
			this.reads++;
		}

	}

}
