package io.flamingogap.gateway.peers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.quota.FleetQuotas;
import io.flamingogap.core.quota.HoldingStart;
import io.flamingogap.core.quota.QuotaCharge;
import io.flamingogap.core.quota.QuotaMember;
import io.flamingogap.core.quota.QuotaMessage;
import io.flamingogap.core.quota.QuotaPeers;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.GatewaySettings;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.relay.QuotaGate;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;
import io.flamingogap.wire.peer.PeerDatagram;

/**
 * Connects the quotas of this node to those of the other nodes by datagrams, and keeps
 * them up to date with the configuration and the known nodes.
 */
public final class QuotaExchange implements QuotaGate, QuotaPeers {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long UPDATE_INTERVAL_MILLIS = 250;

	/**
	 * An interruption of this process after which other nodes may have replaced it as a
	 * holder. Shorter than the time after which silent nodes are removed.
	 */
	private static final long MAX_INTERRUPTION_MILLIS = 4_000;

	private final EventLoop loop;

	private final PeerDatagramChannel datagrams;

	private final FleetView fleet;

	private final ConfigHolder config;

	private final GatewaySettings settings;

	private final NodeClock clock;

	private final BooleanSupplier fleetListed;

	private final QuotaMember self;

	private final FleetQuotas quotas;

	private final Map<String, Address> peerAddresses = new HashMap<>();

	private OptionalLong previousRunReports = OptionalLong.empty();

	private boolean updated;

	private long updatedConfigVersion = Long.MIN_VALUE;

	private long lastUpdateMillis;

	private long lastUpdateTimeOfDayMillis;

	/**
	 * Create the exchange and listen for the datagrams of other nodes.
	 * @param loop the event loop
	 * @param datagrams the channel to the other nodes
	 * @param fleet the known nodes
	 * @param config holds the current configuration
	 * @param settings the settings of the node
	 * @param clock the clocks of this process
	 * @param fleetListed whether the reports of all nodes were read at least once
	 * @param firstMessageId the id of the first message; should differ from run to run
	 */
	public QuotaExchange(EventLoop loop, PeerDatagramChannel datagrams, FleetView fleet, ConfigHolder config,
			GatewaySettings settings, NodeClock clock, BooleanSupplier fleetListed, long firstMessageId) {
		this.loop = loop;
		this.datagrams = datagrams;
		this.fleet = fleet;
		this.config = config;
		this.settings = settings;
		this.clock = clock;
		this.fleetListed = fleetListed;
		this.self = member(settings.node(), settings.zone());
		this.quotas = new FleetQuotas(this.self, settings.relayLimits().quotaTolerance(), this, this::findAccount,
				firstMessageId);
		datagrams.addListener(this::onDatagram);
	}

	private QuotaMember member(String node, String zone) {
		return new QuotaMember(node, zone, this.settings.regionsByZone().getOrDefault(zone, zone));
	}

	/**
	 * Start following the known nodes.
	 */
	public void start() {
		this.lastUpdateMillis = this.clock.steadyMillis();
		this.lastUpdateTimeOfDayMillis = this.clock.timeOfDayMillis();
		this.loop.scheduleWithFixedDelay(LoggedTask.of("quotas", this::update), UPDATE_INTERVAL_MILLIS,
				UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Record that a previous run of this node was known to the other nodes until now.
	 * @param reports the number of reports that it wrote
	 */
	public void recordPreviousRun(long reports) {
		this.previousRunReports = OptionalLong.of(reports);
	}

	/**
	 * Take up the shares of this node, and decide on the requests that wait for it. To be
	 * called when the reports of all nodes have been read for the first time.
	 */
	public void onFleetListed() {
		update();
	}

	private void update() {
		Optional<ServingConfig> current = this.config.current();
		if (current.isEmpty() || !this.fleetListed.getAsBoolean()) {
			return;
		}
		long nowMillis = this.clock.steadyMillis();
		recordInterruptionIfAny(nowMillis);
		this.updatedConfigVersion = current.get().version();
		List<NodeReport> reports = this.fleet.knownReports();
		Set<QuotaMember> members = new HashSet<>(Set.of(this.self));
		reports.forEach((report) -> members.add(member(report.node().name(), report.zone())));
		this.settings.listen()
			.peers()
			.ifPresent((own) -> reports.forEach((report) -> this.peerAddresses.put(report.node().name(),
					new Address(report.callerAddress().host(), own.port()))));
		HoldingStart start = holdingStart();
		if (!this.updated) {
			this.updated = true;
			logger.atInfo()
				.log("%s",
						LogLine.of("quotas taken up")
							.with("start", start.name())
							.with("nodes", members.size())
							.with("reportsOfPreviousRun", this.previousRunReports.orElse(0)));
		}
		this.quotas.update(members, current.get().accounts(), start, nowMillis);
	}

	private HoldingStart holdingStart() {
		if (this.settings.firstStart() && this.previousRunReports.isEmpty()) {
			return HoldingStart.UNSPENT;
		}
		return HoldingStart.afterRestart(this.previousRunReports,
				this.fleet.recentReports().stream().map(NodeReport::sequence).toList());
	}

	private void recordInterruptionIfAny(long nowMillis) {
		long timeOfDayMillis = this.clock.timeOfDayMillis();
		long elapsedMillis = Math.max(nowMillis - this.lastUpdateMillis,
				timeOfDayMillis - this.lastUpdateTimeOfDayMillis);
		if (this.updatedConfigVersion != Long.MIN_VALUE && elapsedMillis > MAX_INTERRUPTION_MILLIS) {
			logger.atInfo().log("%s", LogLine.of("quotas taken over again").with("interruptedMillis", elapsedMillis));
			this.quotas.recordInterruption(nowMillis);
		}
		this.lastUpdateMillis = nowMillis;
		this.lastUpdateTimeOfDayMillis = timeOfDayMillis;
	}

	private Optional<ClientAccount> findAccount(String name) {
		return this.config.current()
			.flatMap((current) -> current.accounts()
				.stream()
				.filter((account) -> account.name().equals(name))
				.findFirst());
	}

	private void updateIfConfigChanged() {
		if (this.config.current().filter((current) -> current.version() != this.updatedConfigVersion).isPresent()) {
			update();
		}
	}

	@Override
	public void admit(ClientAccount account, long cost, FleetQuotas.DecisionListener listener) {
		updateIfConfigChanged();
		this.quotas.admit(account, cost, listener, this.clock.steadyMillis());
	}

	@Override
	public void refund(ClientAccount account, QuotaCharge charge) {
		this.quotas.refund(account, charge, this.clock.steadyMillis());
	}

	@Override
	public void send(String node, QuotaMessage message) {
		Address address = this.peerAddresses.get(node);
		if (address != null) {
			PeerDatagram datagram = new PeerDatagram();
			datagram.setQuota(QuotaMessageCodec.encode(this.self.node(), message));
			this.datagrams.send(datagram, List.of(address));
		}
	}

	@Override
	public void schedule(long delayMillis, LongConsumer task) {
		this.loop.schedule(() -> task.accept(this.clock.steadyMillis()), delayMillis, TimeUnit.MILLISECONDS);
	}

	private void onDatagram(PeerDatagram datagram, Address from) {
		if (datagram.isSetQuota()) {
			updateIfConfigChanged();
			String node = datagram.getQuota().getNode();
			this.peerAddresses.put(node, from);
			QuotaMessageCodec.decode(datagram.getQuota())
				.ifPresent((message) -> this.quotas.receive(node, message, this.clock.steadyMillis()));
		}
	}

}
