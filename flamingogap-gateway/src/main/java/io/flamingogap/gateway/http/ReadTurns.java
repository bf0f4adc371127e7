package io.flamingogap.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Makes connections that receive much wait for their turns, a few of which are given in
 * each pass of the event loop. Other connections and tasks then go on between them,
 * however many connections receive bytes without end.
 * <p>
 * Not thread-safe.
 */
public final class ReadTurns {

	/** A connection that has received as much in one read waits for its turn. */
	private static final int LONG_READ_BYTES = 4_096;

	private static final int TURNS_PER_PASS = 4;

	private final EventLoop loop;

	private final Deque<PacedReader> waiting = new ArrayDeque<>();

	private boolean scheduled;

	/**
	 * Create turns for the connections of an event loop.
	 * @param loop the event loop
	 */
	public ReadTurns(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Create the first handler of the pipeline of a connection, whose automatic reading
	 * must be switched off.
	 * @return a new handler
	 */
	public PacedReader newReader() {
		return new PacedReader(this);
	}

	private void await(PacedReader reader) {
		this.waiting.addLast(reader);
		schedule();
	}

	private void schedule() {
		if (!this.scheduled && !this.waiting.isEmpty()) {
			this.scheduled = true;
			// A task that is due at once runs in the next pass; one that is submitted
			// would run in this one.
			this.loop.schedule(this::giveTurns, 0, TimeUnit.NANOSECONDS);
		}
	}

	private void giveTurns() {
		this.scheduled = false;
		for (int i = 0; i < TURNS_PER_PASS && !this.waiting.isEmpty(); i++) {
			this.waiting.removeFirst().takeTurn();
		}
		schedule();
	}

	/**
	 * Reads a connection, one buffer at a time.
	 */
	public static final class PacedReader extends ChannelDuplexHandler {

		private final ReadTurns turns;

		private @Nullable ChannelHandlerContext context;

		private long bytesRead;

		private boolean waiting;

		private boolean enabled = true;

		private PacedReader(ReadTurns turns) {
			this.turns = turns;
		}

		/**
		 * Set whether the connection is read. If it is disabled, at most one more buffer
		 * is read.
		 * @param newEnabled {@code false} to leave the bytes in the socket buffer
		 */
		public void setEnabled(boolean newEnabled) {
			this.enabled = newEnabled;
			readIfAdded();
		}

		private void takeTurn() {
			this.waiting = false;
			readIfAdded();
		}

		private void readIfAdded() {
			ChannelHandlerContext added = this.context;
			if (added != null) {
				read(added);
			}
		}

		@Override
		public void handlerAdded(ChannelHandlerContext added) {
			this.context = added;
		}

		@Override
		public void read(ChannelHandlerContext channel) {
			if (this.enabled && !this.waiting && channel.channel().isActive()) {
				channel.read();
			}
		}

		@Override
		public void channelActive(ChannelHandlerContext channel) {
			channel.fireChannelActive();
			read(channel);
		}

		@Override
		public void channelRead(ChannelHandlerContext channel, Object message) {
			this.bytesRead += ((ByteBuf) message).readableBytes();
			channel.fireChannelRead(message);
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext channel) {
			if (this.bytesRead >= LONG_READ_BYTES && !this.waiting) {
				this.waiting = true;
				this.turns.await(this);
			}
			this.bytesRead = 0;
			channel.fireChannelReadComplete();
			read(channel);
		}

	}

}
