package io.flamingogap.gateway.http;

import java.util.Iterator;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DefaultHeaders;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.memory.AcceptedConnection;
import io.flamingogap.gateway.memory.AcceptedConnections;

/**
 * Copies the body of a request, in whatever pieces it arrives, into buffers of one size,
 * and records what it holds of the request until it is complete. It comes between the
 * decoder and the aggregator; its {@link Meter} comes before the decoder.
 */
public final class RequestCollector extends ChannelInboundHandlerAdapter {

	private static final int SEGMENT_BYTES = 16_384;

	/** What a header occupies besides its characters. */
	private static final int HEADER_OVERHEAD_BYTES = 160;

	/** A character of a head is held by the decoder and in its string. */
	private static final int BYTES_PER_HEAD_CHARACTER = 2;

	private final AcceptedConnections connections;

	private final AcceptedConnection owner;

	private State state = State.HEAD;

	/** An estimate of what the decoder holds of the head. */
	private long headBytes;

	private long bodyBytes;

	private boolean recorded;

	private @Nullable ByteBuf segment;

	private @Nullable ChannelHandlerContext context;

	/**
	 * Create the handler of a connection.
	 * @param connections the account of requests
	 * @param owner the connection
	 */
	public RequestCollector(AcceptedConnections connections, AcceptedConnection owner) {
		this.connections = connections;
		this.owner = owner;
	}

	/**
	 * Let the decoder tell how many lines of a head or trailer it holds.
	 * @param config the configuration of the decoder, which is changed
	 * @return the same configuration
	 */
	public HttpDecoderConfig countLines(HttpDecoderConfig config) {
		return config.setHeadersFactory(countLines(DefaultHttpHeadersFactory.headersFactory()))
			.setTrailersFactory(countLines(DefaultHttpHeadersFactory.trailersFactory()));
	}

	private DefaultHttpHeadersFactory countLines(DefaultHttpHeadersFactory factory) {
		DefaultHeaders.NameValidator<CharSequence> validator = factory.getNameValidator();
		return factory.withNameValidator((name) -> {
			this.headBytes += HEADER_OVERHEAD_BYTES;
			validator.validateName(name);
		});
	}

	/**
	 * Drop everything that arrives from now on.
	 */
	public void discard() {
		this.state = State.DISCARD;
		reset();
		ChannelHandlerContext added = this.context;
		if (added != null && added.pipeline().get(HttpObjectAggregator.class) != null) {
			// Releases what it has collected.
			added.pipeline().remove(HttpObjectAggregator.class);
		}
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	private void reset() {
		ByteBuf dropped = this.segment;
		this.segment = null;
		if (dropped != null) {
			dropped.release();
		}
		this.headBytes = 0;
		this.bodyBytes = 0;
		if (this.recorded) {
			this.recorded = false;
			this.connections.setArriving(this.owner, 0);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext channel, Object message) {
		if (this.state == State.DISCARD) {
			ReferenceCountUtil.release(message);
		}
		else if (message instanceof HttpRequest request) {
			begin(channel, request);
		}
		else if (message instanceof LastHttpContent last) {
			end(channel, last);
		}
		else if (message instanceof HttpContent content) {
			collect(channel, content.content());
			content.release();
		}
		else {
			channel.fireChannelRead(message);
		}
	}

	private void begin(ChannelHandlerContext channel, HttpRequest request) {
		if (request instanceof LastHttpContent) {
			this.state = State.HEAD;
			reset();
		}
		else {
			this.state = State.BODY;
			// The estimate may include a part of the body.
			this.headBytes = Math.min(this.headBytes, headBytes(request));
		}
		channel.fireChannelRead(request);
	}

	/**
	 * Return what the head of a request occupies in memory.
	 * @param request the request
	 * @return an estimate, in bytes
	 */
	public static long headBytes(HttpRequest request) {
		long bytes = request.uri().length();
		for (Iterator<Map.Entry<CharSequence, CharSequence>> headers = request.headers().iteratorCharSequence(); headers
			.hasNext();) {
			Map.Entry<CharSequence, CharSequence> header = headers.next();
			bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
		}
		return bytes;
	}

	private void end(ChannelHandlerContext channel, LastHttpContent last) {
		collect(channel, last.content());
		ByteBuf rest = this.segment;
		this.segment = null;
		if (rest != null) {
			channel.fireChannelRead(new DefaultHttpContent(rest));
		}
		LastHttpContent end = last.replace(Unpooled.EMPTY_BUFFER);
		end.setDecoderResult(last.decoderResult());
		last.release();
		if (this.state == State.DISCARD) {
			end.release();
			return;
		}
		this.state = State.HEAD;
		reset();
		channel.fireChannelRead(end);
		// The aggregator sets headers of the request.
		this.headBytes = 0;
	}

	private void collect(ChannelHandlerContext channel, ByteBuf content) {
		while (content.isReadable() && this.state != State.DISCARD) {
			ByteBuf current = this.segment;
			if (current == null) {
				current = Unpooled.buffer(Math.min(SEGMENT_BYTES, content.readableBytes()), SEGMENT_BYTES);
				this.segment = current;
				this.bodyBytes += current.capacity();
			}
			int capacity = current.capacity();
			current.writeBytes(content, Math.min(content.readableBytes(), current.maxWritableBytes()));
			this.bodyBytes += current.capacity() - capacity;
			if (current.maxWritableBytes() == 0) {
				this.segment = null;
				channel.fireChannelRead(new DefaultHttpContent(current));
			}
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext channel) {
		long bytes = this.headBytes + this.bodyBytes;
		if (bytes > 0) {
			this.recorded = true;
			this.connections.setArriving(this.owner, bytes);
		}
		channel.fireChannelReadComplete();
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext removed) {
		reset();
	}

	private enum State {

		/** A head is expected or arriving. */
		HEAD,

		/** The head is complete, and the body isn't. */
		BODY,

		/** Nothing that arrives is of use. */
		DISCARD

	}

	/**
	 * Records the use of the connection and estimates what the decoder holds.
	 */
	public final class Meter extends ChannelInboundHandlerAdapter {

		/**
		 * Create the handler that belongs to the collector.
		 */
		public Meter() {
		}

		@Override
		public void channelActive(ChannelHandlerContext channel) {
			RequestCollector.this.connections.opened(RequestCollector.this.owner);
			channel.fireChannelActive();
		}

		@Override
		public void channelRead(ChannelHandlerContext channel, Object message) {
			if (RequestCollector.this.state == State.DISCARD) {
				ReferenceCountUtil.release(message);
				return;
			}
			RequestCollector.this.connections.used(RequestCollector.this.owner);
			if (RequestCollector.this.state == State.HEAD) {
				RequestCollector.this.headBytes += (long) BYTES_PER_HEAD_CHARACTER
						* ((ByteBuf) message).readableBytes();
			}
			channel.fireChannelRead(message);
		}

		@Override
		public void channelInactive(ChannelHandlerContext channel) {
			RequestCollector.this.connections.closed(RequestCollector.this.owner);
			RequestCollector.this.recorded = false;
			reset();
			channel.fireChannelInactive();
		}

	}

}
