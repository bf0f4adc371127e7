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
 * Moves units of quotas between nodes. What a node lends leaves its own share first, so a
 * lost datagram loses units and never doubles them.
 */
public final class QuotaLoans implements QuotaBorrower {

	/** Longer than a round trip to another region, short against every goal. */
	private static final long ANSWER_MILLIS = 40;

	/**
	 * After a loan that brought nothing, the account isn't asked for again for so long.
	 */
	private static final long PAUSE_MILLIS = 400;

	/** Nodes that are asked at once. */
	private static final int MAX_PEERS = 8;

	private final EventLoop loop;

	private final PeerDatagramChannel datagrams;

	private final QuotaLimiter quotas;

	private final Function<String, Optional<ClientAccount>> accounts;

	private final Supplier<List<Address>> peers;

	private final LongSupplier steadyMillis;

	private final Map<String, Long> pausedUntilMillis = new HashMap<>();

	private final Map<String, Long> received = new HashMap<>();

	private final Random order = new Random();

	/**
	 * Create without loans.
	 * @param loop the event loop
	 * @param datagrams carries questions and units
	 * @param quotas this node's shares
	 * @param accounts finds an account by name
	 * @param peers the addresses of the other nodes
	 * @param steadyMillis tells the present time
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
		datagrams.addListener(this::hear);
	}

	@Override
	public boolean borrow(ClientAccount account, long units, Runnable answered) {
		List<Address> asked = new ArrayList<>(this.peers.get());
		long nowMillis = this.steadyMillis.getAsLong();
		if (!this.datagrams.isStarted() || asked.isEmpty()
				|| nowMillis < this.pausedUntilMillis.getOrDefault(account.name(), Long.MIN_VALUE)) {
			return false;
		}
		Collections.shuffle(asked, this.order);
		PeerDatagram datagram = new PeerDatagram();
		datagram.setAsk(new QuotaAsk(account.name(), units));
		this.datagrams.send(datagram, asked.subList(0, Math.min(MAX_PEERS, asked.size())));
		long before = this.received.getOrDefault(account.name(), 0L);
		this.loop.schedule(() -> {
			if (this.received.getOrDefault(account.name(), 0L) == before) {
				this.pausedUntilMillis.put(account.name(), this.steadyMillis.getAsLong() + PAUSE_MILLIS);
			}
			answered.run();
		}, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
		return true;
	}

	private void hear(PeerDatagram datagram, Address from) {
		if (datagram.isSetAsk()) {
			lend(datagram.getAsk(), from);
		}
		else if (datagram.isSetGrant()) {
			QuotaGrant grant = datagram.getGrant();
			this.received.merge(grant.getAccount(), grant.getUnits(), Long::sum);
			this.quotas.receive(grant.getAccount(), grant.getUnits());
		}
	}

	private void lend(QuotaAsk ask, Address from) {
		Optional<ClientAccount> account = this.accounts.apply(ask.getAccount());
		long units = account.map((found) -> this.quotas.lend(found, ask.getUnits(), this.steadyMillis.getAsLong()))
			.orElse(0L);
		if (units > 0) {
			PeerDatagram datagram = new PeerDatagram();
			datagram.setGrant(new QuotaGrant(ask.getAccount(), units));
			this.datagrams.send(datagram, List.of(from));
		}
	}

}
