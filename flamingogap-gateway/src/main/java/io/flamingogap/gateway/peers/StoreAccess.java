package io.flamingogap.gateway.peers;

import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.store.RecordStore;

/**
 * The ways to the store, wired together: directly, through the node that reads for the
 * zone, or through any node while the store turns this one away.
 */
public final class StoreAccess {

	private final ZoneRelayedStore store;

	private final PeerStoreService peerService;

	/**
	 * Create the ways to a store.
	 * @param loop the event loop
	 * @param direct the store as this node reaches it
	 * @param relay names the node that reads for the zone
	 * @param peers the addresses of other nodes
	 * @param steadyMillis tells the present time
	 */
	public StoreAccess(EventLoop loop, RecordStore direct, ZoneRelaySelector relay, Supplier<List<Address>> peers,
			LongSupplier steadyMillis) {
		ZoneReadCache shared = new ZoneReadCache(loop, direct, steadyMillis);
		ReportBatcher batch = new ReportBatcher(loop, shared);
		PeerStoreClient caller = new PeerStoreClient(loop);
		RecordStore backed = new PeerFallbackStore(caller, shared, peers, steadyMillis);
		this.store = new ZoneRelayedStore(caller, backed, relay, batch);
		this.peerService = new PeerStoreService(shared, batch);
	}

	/**
	 * Return the store.
	 * @return the store, by whichever way works
	 */
	public RecordStore store() {
		return this.store;
	}

	/**
	 * Return what takes reports that may reach the store a little later.
	 * @return the sink
	 */
	public ReportSink reports() {
		return this.store;
	}

	/**
	 * Return what answers other nodes.
	 * @return the service
	 */
	public PeerStoreService peerService() {
		return this.peerService;
	}

}
