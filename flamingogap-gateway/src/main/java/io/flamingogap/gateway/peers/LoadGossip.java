package io.flamingogap.gateway.peers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

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
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.relay.LoadListener;
import io.flamingogap.wire.peer.LoadNews;
import io.flamingogap.wire.peer.OpenLoad;

/**
 * Tells the nodes of the same zone what this node has open at backend servers, and hears
 * it of them. Datagrams may be lost: each carries whole figures, which lapse after a while.
 */
public final class LoadGossip implements LoadListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Changes are collected for so long; shorter than the time to read a usual prompt. */
	private static final long COLLECT_MILLIS = 15;

	/** Nodes that are told; more than a zone of the users has. */
	private static final int MAX_PEERS = 24;

	private final EventLoop loop;

	private final String node;

	private final ServerTable servers;

	private final Supplier<List<Address>> zonePeers;

	private final LongSupplier steadyMillis;

	private final Set<KnownServer> changed = new LinkedHashSet<>();

	private @Nullable Channel channel;

	/**
	 * Create a gossip that isn't heard yet.
	 * @param loop the event loop
	 * @param node the name of this node
	 * @param servers the backend servers
	 * @param zonePeers the addresses of the other nodes of the zone
	 * @param steadyMillis tells the present time
	 */
	public LoadGossip(EventLoop loop, String node, ServerTable servers, Supplier<List<Address>> zonePeers,
			LongSupplier steadyMillis) {
		this.loop = loop;
		this.node = node;
		this.servers = servers;
		this.zonePeers = zonePeers;
		this.steadyMillis = steadyMillis;
	}

	/**
	 * Begin to tell and to hear.
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
						.log("%s", LogLine.of("loads not exchanged").with("reason", String.valueOf(bound.cause())));
				}
			});
	}

	@Override
	public void onChanged(KnownServer server) {
		if (this.channel != null && this.changed.isEmpty()) {
			this.loop.schedule(this::tell, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
		}
		if (this.channel != null) {
			this.changed.add(server);
		}
	}

	private void tell() {
		List<OpenLoad> rows = new ArrayList<>();
		for (KnownServer server : this.changed) {
			rows.add(new OpenLoad(server.entry().id(), server.load().open(), server.load().unreadTokens()));
		}
		this.changed.clear();
		byte[] bytes = ThriftBytes.write(new LoadNews(this.node, rows));
		Channel open = this.channel;
		if (open == null) {
			return;
		}
		this.zonePeers.get()
			.stream()
			.limit(MAX_PEERS)
			.forEach((peer) -> open.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes),
					new InetSocketAddress(peer.host(), peer.port()))));
		open.flush();
	}

	private void hear(byte[] bytes) {
		try {
			LoadNews news = ThriftBytes.read(bytes, new LoadNews());
			long nowMillis = this.steadyMillis.getAsLong();
			for (OpenLoad row : news.getLoads()) {
				this.servers.find(row.getServerId())
					.ifPresent((server) -> server.load()
						.recordPeer(news.getNode(), row.getOpenRequests(), row.getUnreadTokens(), nowMillis));
			}
		}
		catch (TException ex) {
			logger.atWarning().log("%s", LogLine.of("datagram unreadable").with("bytes", bytes.length));
		}
	}

	/**
	 * Reads datagrams.
	 */
	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			hear(ByteBufUtil.getBytes(packet.content()));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			logger.atFine().log("%s", LogLine.of("datagram lost").with("reason", String.valueOf(cause.getMessage())));
		}

	}

}
