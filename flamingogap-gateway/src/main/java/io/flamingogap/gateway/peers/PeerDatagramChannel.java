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
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.apache.thrift.TException;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.wire.peer.PeerDatagram;

/**
 * Sends and receives datagrams between nodes. Datagrams may be lost, which senders must
 * allow for.
 */
public final class PeerDatagramChannel {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Receivers read no more of a datagram. */
	private static final int MAX_DATAGRAM_BYTES = 2_048;

	private final EventLoop loop;

	private final List<BiConsumer<PeerDatagram, Address>> listeners = new ArrayList<>();

	private @Nullable Channel channel;

	/**
	 * Create an unbound channel.
	 * @param loop the event loop
	 */
	public PeerDatagramChannel(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Bind the port and start sending and receiving. If the port can't be bound, a
	 * warning is logged and nothing is sent.
	 * @param address the local address that other nodes send to
	 */
	public void start(Address address) {
		new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
			.handler(new Receiver())
			.bind(address.host(), address.port())
			.addListener((bindResult) -> {
				if (bindResult.isSuccess()) {
					this.channel = ((ChannelFuture) bindResult).channel();
				}
				else {
					logger.atWarning()
						.log("%s",
								LogLine.of("no datagrams between nodes")
									.with("address", address.toString())
									.with("reason", String.valueOf(bindResult.cause())));
				}
			});
	}

	/**
	 * Add a listener.
	 * @param listener receives each datagram with the address of its sender
	 */
	public void addListener(BiConsumer<PeerDatagram, Address> listener) {
		this.listeners.add(listener);
	}

	boolean isStarted() {
		return this.channel != null;
	}

	/**
	 * Send a datagram. Does nothing before the port is bound. A datagram that is too long
	 * for its receivers is only logged; see {@link DatagramBatches}.
	 * @param datagram the datagram
	 * @param peers the addresses of the receivers
	 */
	public void send(PeerDatagram datagram, List<Address> peers) {
		Channel boundChannel = this.channel;
		if (boundChannel == null) {
			return;
		}
		byte[] bytes = ThriftSerializer.serialize(datagram);
		if (bytes.length > MAX_DATAGRAM_BYTES) {
			logger.atWarning().log("%s", LogLine.of("datagram too long").with("bytes", bytes.length));
			return;
		}
		for (Address peer : peers) {
			boundChannel.write(
					new DatagramPacket(Unpooled.wrappedBuffer(bytes), new InetSocketAddress(peer.host(), peer.port())));
		}
		boundChannel.flush();
	}

	/**
	 * Decodes datagrams and passes them to the listeners.
	 */
	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			try {
				PeerDatagram datagram = ThriftSerializer.deserialize(ByteBufUtil.getBytes(packet.content()),
						new PeerDatagram());
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
			logger.atFine().log("%s", LogLine.of("datagram lost").with("reason", String.valueOf(cause)));
		}

	}

}
