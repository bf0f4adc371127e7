package io.flamingogap.gateway.peers;

import java.util.List;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.relay.RelayMetrics;
import io.flamingogap.wire.peer.DepartureNews;
import io.flamingogap.wire.peer.PeerDatagram;

/**
 * Tells the other nodes which servers have said in an answer that they are leaving. Only
 * the node that got the answer tells; if the datagram is lost, another node learns it
 * from the store or from an answer of its own.
 */
public final class DepartureExchange {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final PeerDatagramChannel datagrams;

	private final Supplier<List<Address>> peers;

	private final ServerTable servers;

	private final RelayMetrics metrics;

	/**
	 * Create an exchange and listen for the datagrams of other nodes.
	 * @param datagrams the channel to the other nodes
	 * @param peers returns the addresses of all other nodes
	 * @param servers the backend servers
	 * @param metrics counts the departures
	 */
	public DepartureExchange(PeerDatagramChannel datagrams, Supplier<List<Address>> peers, ServerTable servers,
			RelayMetrics metrics) {
		this.datagrams = datagrams;
		this.peers = peers;
		this.servers = servers;
		this.metrics = metrics;
		datagrams.addListener(this::onDatagram);
	}

	/**
	 * Tell the other nodes of a departure.
	 * @param run the registration of the run that is leaving
	 */
	public void tell(ServerRegistration run) {
		PeerDatagram datagram = new PeerDatagram();
		datagram.setDeparture(new DepartureNews(run.id(), run.startedAtMillis()));
		this.datagrams.send(datagram, this.peers.get());
	}

	private void onDatagram(PeerDatagram datagram, Address from) {
		if (!datagram.isSetDeparture()) {
			return;
		}
		DepartureNews news = datagram.getDeparture();
		if (this.servers.depart(news.getServerId(), news.getStartedAtMillis())) {
			this.metrics.increment("departed.peer");
			logger.atInfo()
				.log("%s",
						LogLine.of("server departed")
							.with("server", news.getServerId())
							.with("source", "node at " + from)
							.with("startedAtMillis", news.getStartedAtMillis()));
		}
	}

}
