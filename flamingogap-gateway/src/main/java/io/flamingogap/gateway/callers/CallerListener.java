package io.flamingogap.gateway.callers;

import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.serving.ListenerLimits;
import io.flamingogap.gateway.http.ExitOnBindFailure;
import io.flamingogap.gateway.http.ReadTurns;
import io.flamingogap.gateway.http.RequestCollector;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.memory.AcceptedConnections;
import io.flamingogap.gateway.memory.AnswerMemory;

/**
 * Accepts connections of callers. The limits that are in force when a connection is
 * opened apply to it until it is closed.
 */
public final class CallerListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The number of connections that may wait to be accepted while the loop is busy. */
	private static final int ACCEPT_BACKLOG = 1_024;

	/**
	 * The time limit of a whole request, as a multiple of the configured header timeout.
	 * The head has no limit of its own.
	 */
	private static final int REQUEST_TIMEOUT_FACTOR = 3;

	/**
	 * Extends the configured idle limit, so that callers may use a connection up to the
	 * limit. The idle time is counted from the last byte read, so it includes the time
	 * that the last response took.
	 */
	private static final double IDLE_TIMEOUT_FACTOR = 1.1;

	/**
	 * How much of an answer may wait for a caller until no more of it is read from the
	 * server, in bytes.
	 */
	private static final WriteBufferWaterMark UNREAD_BYTES = new WriteBufferWaterMark(8_192, 16_384);

	private static final int MILLIS_PER_SECOND = 1_000;

	private CallerListener() {
	}

	/**
	 * Start accepting connections. Ends the process if the address can't be bound.
	 * @param loop the event loop that handles all connections
	 * @param address the address to listen on
	 * @param protocol parses the requests of callers
	 * @param requestHandler receives the requests
	 * @param answerMemory limits the memory for answers that callers have not read
	 * @param connections limits the connections and the memory for requests
	 * @param limits supplies the limits in force
	 */
	public static void listen(EventLoop loop, Address address, CallerProtocol protocol,
			CallerRequestHandler requestHandler, AnswerMemory answerMemory, AcceptedConnections connections,
			Supplier<ListenerLimits> limits) {
		ReadTurns turns = new ReadTurns(loop);
		new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_BYTES)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					configurePipeline(channel.pipeline(), limits.get(), turns.newReader(), connections,
							new CallerConnection(protocol, requestHandler, answerMemory, connections));
				}
			})
			.bind(address.host(), address.port())
			.addListener(new ExitOnBindFailure(address));
	}

	private static void configurePipeline(ChannelPipeline pipeline, ListenerLimits limits, ReadTurns.PacedReader reader,
			AcceptedConnections connections, CallerConnection connection) {
		RequestCollector collector = new RequestCollector(connections, connection);
		HttpDecoderConfig decoderConfig = new HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes())
			.setMaxHeaderSize(limits.maxHeaderBytes());
		RequestReadTimeout readTimeout = new RequestReadTimeout(limits.headerTimeoutMillis() * REQUEST_TIMEOUT_FACTOR);
		int idleSeconds = (int) Math.ceil(limits.idleTimeoutMillis() * IDLE_TIMEOUT_FACTOR / MILLIS_PER_SECOND);
		pipeline.addLast(reader, collector.new Meter(), new IdleStateHandler(idleSeconds, 0, 0), readTimeout,
				new HttpServerCodec(collector.countLines(decoderConfig)), collector,
				new LoggingAggregator(limits.maxBodyBytes()), readTimeout.new TimeoutCanceller(), connection);
	}

	/**
	 * Collects the parts of a request. Answers with status 413, and writes a log line, if
	 * the body exceeds the limit.
	 */
	private static final class LoggingAggregator extends HttpObjectAggregator {

		private final int maxBodyBytes;

		private LoggingAggregator(int maxBodyBytes) {
			super(maxBodyBytes, true);
			this.maxBodyBytes = maxBodyBytes;
		}

		@Override
		protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) throws Exception {
			logger.atInfo()
				.log("%s",
						LogLine.of("request refused")
							.with("status", 413)
							.with("reason",
									"body too large; Content-Length "
											+ oversized.headers().get(HttpHeaderNames.CONTENT_LENGTH, "unknown")
											+ ", caller " + context.channel().remoteAddress())
							.with("limitBytes", this.maxBodyBytes));
			super.handleOversizedMessage(context, oversized);
		}

	}

}
