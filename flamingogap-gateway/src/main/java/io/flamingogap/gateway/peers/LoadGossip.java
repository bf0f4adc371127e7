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
 * Tells the nodes of the same zone what this node has open at backend servers, and hears
 * it of them. Each datagram carries whole figures, which lapse after a while.
 */
public final class LoadGossip implements ServerLoadListener {

	/**
	 * Changes are collected for so long; shorter than the time to read a usual prompt.
	 */
	private static final long COLLECT_MILLIS = 15;

	/** Nodes that are told; more than a zone of the users has. */
	private static final int MAX_PEERS = 24;

	private final EventLoop loop;

	private final PeerDatagramChannel datagrams;

	private final String node;

	private final ServerTable servers;

	private final Supplier<List<Address>> zonePeers;

	private final LongSupplier steadyMillis;

	private final Set<KnownServer> changed = new LinkedHashSet<>();

	/**
	 * Create a gossip.
	 * @param loop the event loop
	 * @param datagrams carries the news
	 * @param node the name of this node
	 * @param servers the backend servers
	 * @param zonePeers the addresses of the other nodes of the zone
	 * @param steadyMillis tells the present time
	 */
	public LoadGossip(EventLoop loop, PeerDatagramChannel datagrams, String node, ServerTable servers,
			Supplier<List<Address>> zonePeers, LongSupplier steadyMillis) {
		this.loop = loop;
		this.datagrams = datagrams;
		this.node = node;
		this.servers = servers;
		this.zonePeers = zonePeers;
		this.steadyMillis = steadyMillis;
		datagrams.addListener((datagram, from) -> hear(datagram));
	}

	@Override
	public void onLoadChanged(KnownServer server) {
		if (!this.datagrams.isStarted()) {
			return;
		}
		if (this.changed.isEmpty()) {
			this.loop.schedule(this::tell, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
		}
		this.changed.add(server);
	}

	private void tell() {
		List<OpenLoad> rows = new ArrayList<>();
		for (KnownServer server : this.changed) {
			rows.add(new OpenLoad(server.registration().id(), server.load().openRequests(),
					server.load().unreadTokens()));
		}
		this.changed.clear();
		PeerDatagram datagram = new PeerDatagram();
		datagram.setLoads(new LoadNews(this.node, rows));
		List<Address> peers = this.zonePeers.get();
		this.datagrams.send(datagram, peers.subList(0, Math.min(MAX_PEERS, peers.size())));
	}

	private void hear(PeerDatagram datagram) {
		if (!datagram.isSetLoads()) {
			return;
		}
		long nowMillis = this.steadyMillis.getAsLong();
		for (OpenLoad row : datagram.getLoads().getLoads()) {
			this.servers.find(row.getServerId())
				.ifPresent((server) -> server.load()
					.recordPeerLoad(datagram.getLoads().getNode(), row.getOpenRequests(), row.getUnreadTokens(),
							nowMillis));
		}
	}

}
