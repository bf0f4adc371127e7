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
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.serving.ListenerLimits;
import io.flamingogap.gateway.http.ExitUnlessBound;
import io.flamingogap.gateway.log.LogLine;

/**
 * Listens for callers. The limits in force when a connection opens bound it.
 */
public final class CallerListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Connections that wait to be accepted while the loop is busy. */
	private static final int BACKLOG = 1_024;

	/** A body may take this many times as long as a head. */
	private static final int BODY_TIMES = 3;

	/** Callers may use a connection up to the limit; it is closed a little later. */
	private static final double IDLE_MARGIN = 1.1;

	private static final int MILLIS_PER_SECOND = 1_000;

	private CallerListener() {
	}

	/**
	 * Listen for callers.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param protocol reads what callers send
	 * @param requests takes the requests
	 * @param limits tells the limits in force
	 */
	public static void listen(EventLoop loop, Address address, CallerProtocol protocol, CallerRequestHandler requests,
			Supplier<ListenerLimits> limits) {
		new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					prepare(channel.pipeline(), limits.get(), new CallerConnection(protocol, requests));
				}
			})
			.bind(address.host(), address.port())
			.addListener(new ExitUnlessBound(address));
	}

	private static void prepare(ChannelPipeline pipeline, ListenerLimits limits, CallerConnection connection) {
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes())
			.setMaxHeaderSize(limits.maxHeaderBytes())
			.setValidateHeaders(true);
		HeadTimeout timeout = new HeadTimeout(limits.headerTimeoutMillis() * BODY_TIMES);
		int idleSeconds = (int) Math.ceil(limits.idleTimeoutMillis() * IDLE_MARGIN / MILLIS_PER_SECOND);
		pipeline.addLast(new IdleStateHandler(idleSeconds, 0, 0), timeout, new HttpServerCodec(decoder),
				new BoundedAggregator(limits.maxBodyBytes()), timeout.new Arrived(), connection);
	}

	/**
	 * Collects whole requests; refuses larger ones and says so in the log.
	 */
	private static final class BoundedAggregator extends HttpObjectAggregator {

		private final int maxBodyBytes;

		private BoundedAggregator(int maxBodyBytes) {
			super(maxBodyBytes, true);
			this.maxBodyBytes = maxBodyBytes;
		}

		@Override
		protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) throws Exception {
			logger.atInfo()
				.log("%s",
						LogLine.of("request refused")
							.with("status", 413)
							.with("reason", "body too large")
							.with("limitBytes", this.maxBodyBytes));
			super.handleOversizedMessage(context, oversized);
		}

	}

}
