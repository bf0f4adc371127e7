package io.flamingogap.daemon.nodes;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.settings.Settings;
import io.flamingogap.daemon.tasks.PeriodicTask;

/**
 * Keeps a connection with each neighbour, and with seed addresses at which no member is
 * known yet.
 */
public final class PeerLinks implements AutoCloseable {

	private final NodeId self;

	private final Settings.Nodes settings;

	private final Gossip gossip;

	private final Membership membership;

	private final Configuration configuration;

	private final Supplier<Set<String>> listedAddresses;

	private final Map<Address, PeerLink> links = new HashMap<>();

	private final PeriodicTask task;

	/**
	 * Create the links; they open after {@link #start()}.
	 * @param settings how nodes talk to each other
	 * @param membership the membership table
	 * @param configuration the configuration in force
	 * @param rollouts the rollouts under way
	 * @param listedAddresses the node addresses on the cloud's instance list
	 */
	public PeerLinks(Settings.Nodes settings, Membership membership, Configuration configuration, Rollouts rollouts,
			Supplier<Set<String>> listedAddresses) {
		this.self = membership.localMember().node();
		this.settings = settings;
		this.gossip = new Gossip(membership, configuration, rollouts);
		this.membership = membership;
		this.configuration = configuration;
		this.listedAddresses = listedAddresses;
		this.task = new PeriodicTask("peer-links", () -> settings.heartbeatMillis(), this::maintain);
	}

	/**
	 * Open the links.
	 */
	public void start() {
		this.membership.addListener(this::triggerHeartbeats);
		this.task.start();
	}

	private void maintain() {
		reconcile(wanted());
	}

	private Set<Address> wanted() {
		Set<Address> known = new HashSet<>();
		this.membership.members()
			.stream()
			.filter(Member::isReachable)
			.forEach((member) -> known.add(member.nodeAddress()));
		Set<Address> wanted = new HashSet<>();
		this.membership.neighbours(this.settings.fanOut()).forEach((member) -> wanted.add(member.nodeAddress()));
		Set<String> seeds = new HashSet<>(this.settings.seedAddresses());
		seeds.addAll(this.listedAddresses.get());
		seeds.stream()
			.map(Address::parse)
			.filter((address) -> !known.contains(address))
			.limit(this.settings.fanOut())
			.forEach(wanted::add);
		wanted.remove(this.membership.localMember().nodeAddress());
		return wanted;
	}

	private synchronized void reconcile(Set<Address> wanted) {
		this.links.entrySet().removeIf((entry) -> {
			boolean drop = !wanted.contains(entry.getKey());
			if (drop) {
				entry.getValue().close();
			}
			return drop;
		});
		for (Address address : wanted) {
			this.links.computeIfAbsent(address, this::open);
		}
	}

	private PeerLink open(Address address) {
		PeerLink link = new PeerLink(address, this.self, this.settings, this.gossip, this.membership,
				this.configuration);
		link.start();
		return link;
	}

	/**
	 * Send news to all neighbours at once.
	 */
	public synchronized void triggerHeartbeats() {
		this.links.values().forEach(PeerLink::triggerHeartbeat);
	}

	@Override
	public synchronized void close() {
		this.task.close();
		this.links.values().forEach(PeerLink::close);
	}

}
