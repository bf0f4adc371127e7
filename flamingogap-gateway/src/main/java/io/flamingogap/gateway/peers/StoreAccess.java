package io.flamingogap.gateway.peers;

import java.util.List;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.store.RecordStore;

/**
 * Combines the ways to reach the store: directly, through the node that reads for the
 * zone, or through any node while the store can't be reached from this one.
 */
public final class StoreAccess {

	private final ZoneReadCache cache;

	private final ZoneRelayedStore store;

	private final PeerStoreService peerService;

	/**
	 * Create the access to a store.
	 * @param loop the event loop
	 * @param direct this node's direct access to the store
	 * @param relaySelector selects the node that reads for the zone
	 * @param peers returns the addresses of other nodes
	 * @param steadyMillis the monotonic clock, in milliseconds
	 */
	public StoreAccess(EventLoop loop, RecordStore direct, ZoneRelaySelector relaySelector,
			Supplier<List<Address>> peers, LongSupplier steadyMillis) {
		this(loop, direct, relaySelector, peers, new HttpPeerTransport(loop), new Random(), steadyMillis);
	}

	StoreAccess(EventLoop loop, RecordStore direct, ZoneRelaySelector relaySelector, Supplier<List<Address>> peers,
			PeerTransport transport, Random random, LongSupplier steadyMillis) {
		this.cache = new ZoneReadCache(loop, direct, steadyMillis);
		ReportBatcher batcher = new ReportBatcher(loop, this.cache);
		PeerStoreClient client = new PeerStoreClient(transport, this.cache.knownTimeline());
		RecordStore fallback = new PeerFallbackStore(client, this.cache, peers, random, steadyMillis);
		this.store = new ZoneRelayedStore(client, fallback, relaySelector, batcher, this.cache.knownTimeline());
		this.peerService = new PeerStoreService(this.cache, batcher);
	}

	/**
	 * Return the store for the other parts of this node.
	 * @return a store that chooses one of the ways for each call
	 */
	public RecordStore store() {
		return this.store;
	}

	/**
	 * Return the sink for this node's reports. It may delay them to append them together
	 * with those of other nodes.
	 * @return the sink
	 */
	public ReportSink reports() {
		return this.store;
	}

	/**
	 * Forget what was read for this node and others, because the store has returned from
	 * an earlier copy and its answers don't show it.
	 */
	public void forgetRecords() {
		this.cache.reset();
	}

	/**
	 * Return the service that makes store calls for other nodes.
	 * @return the service
	 */
	public PeerStoreService peerService() {
		return this.peerService;
	}

}
