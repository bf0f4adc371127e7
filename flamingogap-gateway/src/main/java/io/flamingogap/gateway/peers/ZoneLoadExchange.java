package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.gateway.relay.ServerLoadListener;
import io.flamingogap.wire.peer.LoadNews;
import io.flamingogap.wire.peer.OpenLoad;
import io.flamingogap.wire.peer.PeerDatagram;

/**
 * Exchanges load reports with the other nodes of the zone: the open requests and unread
 * tokens that a node has at each backend server. A node sends only its own loads, and
 * only those that changed. A datagram carries absolute values, which expire at the
 * receiver.
 */
public final class ZoneLoadExchange implements ServerLoadListener {

	/**
	 * How long changes are collected before they are sent. Shorter than the time in which
	 * an engine reads a typical prompt.
	 */
	private static final long COLLECT_MILLIS = 15;

	/**
	 * The maximum number of receivers, which is more than the users have nodes in a zone.
	 * Any further nodes get no reports.
	 */
	private static final int MAX_PEERS = 24;

	private final EventLoop loop;

	private final PeerDatagramChannel datagrams;

	private final String node;

	private final ServerTable servers;

	private final Supplier<List<Address>> zonePeers;

	private final LongSupplier steadyMillis;

	private final Set<KnownServer> changedServers = new LinkedHashSet<>();

	/**
	 * Create an exchange and listen for the reports of other nodes.
	 * @param loop the event loop
	 * @param datagrams the channel to the other nodes
	 * @param node the name of this node
	 * @param servers the backend servers whose load is updated
	 * @param zonePeers returns the addresses of the other nodes of the zone
	 * @param steadyMillis the monotonic clock, in milliseconds
	 */
	public ZoneLoadExchange(EventLoop loop, PeerDatagramChannel datagrams, String node, ServerTable servers,
			Supplier<List<Address>> zonePeers, LongSupplier steadyMillis) {
		this.loop = loop;
		this.datagrams = datagrams;
		this.node = node;
		this.servers = servers;
		this.zonePeers = zonePeers;
		this.steadyMillis = steadyMillis;
		datagrams.addListener((datagram, from) -> onDatagram(datagram));
	}

	@Override
	public void onLoadChanged(KnownServer server) {
		if (!this.datagrams.isStarted()) {
			return;
		}
		if (this.changedServers.isEmpty()) {
			this.loop.schedule(this::sendLoads, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
		}
		this.changedServers.add(server);
	}

	private void sendLoads() {
		List<OpenLoad> loads = new ArrayList<>();
		for (KnownServer server : this.changedServers) {
			loads.add(new OpenLoad(server.registration().id(), server.load().openRequests(),
					server.load().unreadTokens()));
		}
		this.changedServers.clear();
		List<Address> peers = this.zonePeers.get();
		List<Address> receivers = peers.subList(0, Math.min(MAX_PEERS, peers.size()));
		for (List<OpenLoad> batch : DatagramBatches.split(loads, (load) -> load.getServerId().length())) {
			PeerDatagram datagram = new PeerDatagram();
			datagram.setLoads(new LoadNews(this.node, batch));
			this.datagrams.send(datagram, receivers);
		}
	}

	private void onDatagram(PeerDatagram datagram) {
		if (!datagram.isSetLoads()) {
			return;
		}
		long nowMillis = this.steadyMillis.getAsLong();
		for (OpenLoad load : datagram.getLoads().getLoads()) {
			this.servers.find(load.getServerId())
				.ifPresent((server) -> server.load()
					.recordPeerLoad(datagram.getLoads().getNode(), load.getOpenRequests(), load.getUnreadTokens(),
							nowMillis));
		}
	}

}
