package io.flamingogap.gateway.peers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.apache.thrift.TException;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.wire.peer.PeerDatagram;

/**
 * Datagrams between nodes. They may be lost; whoever sends one bears that.
 */
public final class PeerDatagramChannel {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final EventLoop loop;

	private final List<BiConsumer<PeerDatagram, Address>> listeners = new ArrayList<>();

	private @Nullable Channel channel;

	/**
	 * Create without a port.
	 * @param loop the event loop
	 */
	public PeerDatagramChannel(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Begin to send and to receive.
	 * @param address where other nodes' datagrams arrive
	 */
	public void start(Address address) {
		new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.handler(new Receiver())
			.bind(address.host(), address.port())
			.addListener((bound) -> {
				if (bound.isSuccess()) {
					this.channel = ((ChannelFuture) bound).channel();
				}
				else {
					logger.atWarning()
						.log("%s",
								LogLine.of("no datagrams between nodes")
									.with("address", address.toString())
									.with("reason", String.valueOf(bound.cause())));
				}
			});
	}

	void addListener(BiConsumer<PeerDatagram, Address> listener) {
		this.listeners.add(listener);
	}

	boolean isStarted() {
		return this.channel != null;
	}

	void send(PeerDatagram datagram, List<Address> peers) {
		Channel open = this.channel;
		if (open == null) {
			return;
		}
		byte[] bytes = ThriftBytes.write(datagram);
		for (Address peer : peers) {
			open.write(
					new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(peer.host(), peer.port())));
		}
		open.flush();
	}

	/**
	 * Reads datagrams.
	 */
	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			try {
				PeerDatagram datagram = ThriftBytes.read(ByteBufUtil.getBytes(packet.content()), new PeerDatagram());
				InetSocketAddress sender = packet.sender();
				Address from = new Address(sender.getAddress().getHostAddress(), sender.getPort());
				PeerDatagramChannel.this.listeners.forEach((listener) -> listener.accept(datagram, from));
			}
			catch (TException ex) {
				logger.atWarning()
					.log("%s", LogLine.of("datagram unreadable").with("sender", String.valueOf(packet.sender())));
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			logger.atFine().log("%s", LogLine.of("datagram lost").with("reason", String.valueOf(cause.getMessage())));
		}

	}

}
