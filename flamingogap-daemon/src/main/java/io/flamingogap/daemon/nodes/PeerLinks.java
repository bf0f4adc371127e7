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
 * Maintains a connection to each neighbour, and to seed addresses at which no reachable
 * member is known.
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
	 * Create the links. No connection is opened before {@link #start()}.
	 * @param settings the settings for communication between nodes
	 * @param membership the membership table
	 * @param configuration the configuration in force
	 * @param rollouts the rollouts in progress
	 * @param listedAddresses supplies the node addresses of the cloud's instance list,
	 * which are used as additional seed addresses
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
	 * Open the links and keep them up to date.
	 */
	public void start() {
		this.membership.addListener(this::triggerHeartbeats);
		this.task.start();
	}

	private void maintain() {
		reconcile(targetAddresses());
	}

	private Set<Address> targetAddresses() {
		Set<Address> reachable = new HashSet<>();
		this.membership.members()
			.stream()
			.filter(Member::isReachable)
			.forEach((member) -> reachable.add(member.nodeAddress()));
		Set<Address> targets = new HashSet<>();
		this.membership.neighbours(this.settings.fanOut()).forEach((member) -> targets.add(member.nodeAddress()));
		Set<String> seeds = new HashSet<>(this.settings.seedAddresses());
		seeds.addAll(this.listedAddresses.get());
		seeds.stream()
			.map(Address::parse)
			.filter((address) -> !reachable.contains(address))
			.limit(this.settings.fanOut())
			.forEach(targets::add);
		targets.remove(this.membership.localMember().nodeAddress());
		return targets;
	}

	private synchronized void reconcile(Set<Address> targets) {
		this.links.entrySet().removeIf((entry) -> {
			boolean isObsolete = !targets.contains(entry.getKey());
			if (isObsolete) {
				entry.getValue().close();
			}
			return isObsolete;
		});
		for (Address address : targets) {
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
	 * Send a heartbeat to every linked node without waiting for the interval.
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
