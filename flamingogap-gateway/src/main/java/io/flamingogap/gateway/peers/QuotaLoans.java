package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.quota.QuotaLimiter;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.gateway.relay.QuotaBorrower;
import io.flamingogap.wire.peer.PeerDatagram;
import io.flamingogap.wire.peer.QuotaAsk;
import io.flamingogap.wire.peer.QuotaGrant;

/**
 * Lends and borrows units of quotas between nodes. Borrowed units are added to the
 * borrower's share and never returned. A lender takes the units from its own share before
 * it sends them, so that a lost datagram loses units but doesn't duplicate them. A
 * datagram that the network delivers twice is counted twice.
 */
public final class QuotaLoans implements QuotaBorrower {

	/**
	 * How long to wait for granted units. Longer than a round trip to another region and
	 * short compared with every latency target.
	 */
	private static final long GRANT_WAIT_MILLIS = 40;

	/**
	 * The delay before units are requested for an account again after a request brought
	 * none.
	 */
	private static final long BACKOFF_MILLIS = 400;

	/** How many nodes are asked at once. */
	private static final int MAX_PEERS = 8;

	private final EventLoop loop;

	private final PeerDatagramChannel datagrams;

	private final QuotaLimiter quotas;

	private final Function<String, Optional<ClientAccount>> accounts;

	private final Supplier<List<Address>> peers;

	private final LongSupplier steadyMillis;

	private final Map<String, Long> backoffUntilMillis = new HashMap<>();

	private final Map<String, Long> receivedUnits = new HashMap<>();

	private final Random random = new Random();

	/**
	 * Create the lender and borrower of this node and listen for the datagrams of other
	 * nodes.
	 * @param loop the event loop
	 * @param datagrams the channel to the other nodes
	 * @param quotas this node's shares of the quotas
	 * @param accounts finds an account by name
	 * @param peers returns the addresses of the other nodes
	 * @param steadyMillis the monotonic clock, in milliseconds
	 */
	public QuotaLoans(EventLoop loop, PeerDatagramChannel datagrams, QuotaLimiter quotas,
			Function<String, Optional<ClientAccount>> accounts, Supplier<List<Address>> peers,
			LongSupplier steadyMillis) {
		this.loop = loop;
		this.datagrams = datagrams;
		this.quotas = quotas;
		this.accounts = accounts;
		this.peers = peers;
		this.steadyMillis = steadyMillis;
		datagrams.addListener(this::onDatagram);
	}

	@Override
	public boolean borrow(ClientAccount account, long units, Runnable onCompleted) {
		List<Address> candidates = new ArrayList<>(this.peers.get());
		long nowMillis = this.steadyMillis.getAsLong();
		if (!this.datagrams.isStarted() || candidates.isEmpty()
				|| nowMillis < this.backoffUntilMillis.getOrDefault(account.name(), Long.MIN_VALUE)) {
			return false;
		}
		Collections.shuffle(candidates, this.random);
		PeerDatagram datagram = new PeerDatagram();
		datagram.setAsk(new QuotaAsk(account.name(), units));
		this.datagrams.send(datagram, candidates.subList(0, Math.min(MAX_PEERS, candidates.size())));
		long unitsBefore = this.receivedUnits.getOrDefault(account.name(), 0L);
		this.loop.schedule(() -> {
			if (this.receivedUnits.getOrDefault(account.name(), 0L) == unitsBefore) {
				this.backoffUntilMillis.put(account.name(), this.steadyMillis.getAsLong() + BACKOFF_MILLIS);
			}
			onCompleted.run();
		}, GRANT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		return true;
	}

	private void onDatagram(PeerDatagram datagram, Address from) {
		if (datagram.isSetAsk()) {
			lend(datagram.getAsk(), from);
		}
		else if (datagram.isSetGrant()) {
			QuotaGrant grant = datagram.getGrant();
			this.receivedUnits.merge(grant.getAccount(), grant.getUnits(), Long::sum);
			this.quotas.receive(grant.getAccount(), grant.getUnits());
		}
	}

	private void lend(QuotaAsk ask, Address from) {
		Optional<ClientAccount> account = this.accounts.apply(ask.getAccount());
		long units = account
			.map((knownAccount) -> this.quotas.lend(knownAccount, ask.getUnits(), this.steadyMillis.getAsLong()))
			.orElse(0L);
		if (units > 0) {
			PeerDatagram datagram = new PeerDatagram();
			datagram.setGrant(new QuotaGrant(ask.getAccount(), units));
			this.datagrams.send(datagram, List.of(from));
		}
	}

}
