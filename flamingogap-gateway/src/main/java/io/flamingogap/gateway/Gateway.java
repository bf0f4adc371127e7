package io.flamingogap.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.core.duty.UsageCounts;
import io.flamingogap.core.fleet.FleetClock;
import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.quota.QuotaLimiter;
import io.flamingogap.core.servers.NodeLocality;
import io.flamingogap.core.servers.ServerSelector;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.core.serving.ListenerLimits;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.backends.BackendConnectionPool;
import io.flamingogap.gateway.callers.CallerListener;
import io.flamingogap.gateway.cloud.CloudApi;
import io.flamingogap.gateway.cloud.DutyDependencies;
import io.flamingogap.gateway.cloud.DutyRunner;
import io.flamingogap.gateway.cloud.FleetTotals;
import io.flamingogap.gateway.http.SimpleHttpServer;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.node.MetricsPage;
import io.flamingogap.gateway.node.NodeReportExchange;
import io.flamingogap.gateway.node.OperatorRecordWatcher;
import io.flamingogap.gateway.node.RolloutController;
import io.flamingogap.gateway.node.ServerRegistrationWatcher;
import io.flamingogap.gateway.peers.LoadGossip;
import io.flamingogap.gateway.peers.PeerDatagramChannel;
import io.flamingogap.gateway.peers.QuotaLoans;
import io.flamingogap.gateway.peers.StoreAccess;
import io.flamingogap.gateway.peers.ZoneRelaySelector;
import io.flamingogap.gateway.relay.RelayDependencies;
import io.flamingogap.gateway.relay.RelayMetrics;
import io.flamingogap.gateway.relay.RequestRelay;
import io.flamingogap.gateway.relay.ServiceDemandTracker;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.time.NodeClock;

/**
 * One entry node: its parts, wired together on one event loop.
 */
public final class Gateway {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long callers may keep an answer of where to connect. */
	private static final int DIRECTORY_TTL_SECONDS = 2;

	/** Windows of usage that a report carries, so that a lost report does no harm. */
	private static final int REPORTED_WINDOWS = 3;

	/**
	 * The part of the share that a version under trial may get; the rest allows for
	 * chance.
	 */
	private static final double EXPLORED_PART = 0.8;

	private static final long TRIM_EACH_MILLIS = 1_000;

	private static final long DECIDE_EACH_MILLIS = 250;

	/**
	 * How often the end of a rollout is looked for; well within the bound to take one
	 * back.
	 */
	private static final long STATUS_EACH_MILLIS = 1_000;

	private final EventLoop loop;

	private final GatewaySettings settings;

	private final PlatformAdapters ports;

	private final NodeClock clock;

	private final NodeId self;

	private final ConfigHolder config = new ConfigHolder();

	private final ServerTable servers = new ServerTable();

	private final UsageCounts usage = new UsageCounts();

	private final FleetClock fleetClock = new FleetClock();

	private final RelayMetrics metrics = new RelayMetrics();

	private final ServiceDemandTracker demands = new ServiceDemandTracker();

	private final FleetView fleet;

	private final RolloutController rollouts;

	private final QuotaLimiter quotas;

	private final BackendConnectionPool pool;

	private final RequestRelay relay;

	private final RecordStore store;

	private final StoreAccess access;

	private final PeerDatagramChannel datagrams;

	private final LoadGossip gossip;

	private final NodeReportExchange board;

	private final ServerRegistrationWatcher serverWatch;

	private final OperatorRecordWatcher operatorWatch;

	private final Optional<DutyRunner> duties;

	private boolean leaving;

	/**
	 * Create a node that doesn't answer yet.
	 * @param loop the event loop
	 * @param settings the settings
	 * @param ports what the platform provides
	 * @param clock tells the present time
	 * @param incarnation a random number that no other run of the node has
	 */
	public Gateway(EventLoop loop, GatewaySettings settings, PlatformAdapters ports, NodeClock clock,
			long incarnation) {
		this.loop = loop;
		this.settings = settings;
		this.ports = ports;
		this.clock = clock;
		this.self = new NodeId(settings.node(), incarnation);
		this.fleet = new FleetView(this.self, NodeReportExchange.REPORT_INTERVAL_MILLIS);
		SplittableRandom random = new SplittableRandom(incarnation);
		this.rollouts = new RolloutController(this.servers, this.fleet, random,
				settings.duties().maxCandidateShare() * EXPLORED_PART);
		this.quotas = new QuotaLimiter(settings.relayLimits().quotaTolerance(), settings.firstStart());
		this.pool = new BackendConnectionPool(loop, ports.backends(), clock::steadyMillis);
		this.datagrams = new PeerDatagramChannel(loop);
		this.gossip = new LoadGossip(loop, this.datagrams, settings.node(), this.servers, this::zonePeerAddresses,
				clock::steadyMillis);
		QuotaLoans lender = new QuotaLoans(loop, this.datagrams, this.quotas, this::findAccount, this::peerAddresses,
				clock::steadyMillis);
		RelayDependencies parts = new RelayDependencies(loop, clock, this.config, this.servers,
				new ServerSelector(new NodeLocality(settings.zone(), settings.regionsByZone())), this.rollouts,
				this.pool, this.quotas, lender, this.fleet, this.metrics, this.demands, this.gossip, random);
		this.relay = new RequestRelay(parts, settings.relayLimits(), this::onStarted);
		this.access = new StoreAccess(loop, ports.store(), zoneRelay(), this::peerAddresses, clock::steadyMillis);
		this.store = this.access.store();
		this.board = new NodeReportExchange(loop, this.store, this.access.reports(), this.fleet, this.fleetClock, clock,
				this::report,
				(previous) -> this.quotas.restoreDemand(previous.demandPerSecond(), clock.steadyMillis()));
		this.serverWatch = new ServerRegistrationWatcher(loop, this.store, ports.records(), this.servers, clock);
		this.operatorWatch = new OperatorRecordWatcher(loop, this.store, ports.records(), this.config, this.rollouts,
				clock);
		this.duties = ports.cloud()
			.map((cloud) -> new DutyRunner(dutyParts(cloud), settings.duties().leaseMillis(),
					settings.duties().usageWindowMillis()));
	}

	private ZoneRelaySelector zoneRelay() {
		Optional<Integer> port = this.settings.listen().peers().map(Address::port);
		return new ZoneRelaySelector(this.fleet, this.settings.zone(), this.self.name(), port,
				this.clock::steadyMillis);
	}

	private DutyDependencies dutyParts(CloudApi cloud) {
		return new DutyDependencies(this.loop, this.ports.store(), this.ports.records(), cloud, this.clock,
				this::trueMillis, this.config, this.rollouts, this.servers, this.serverWatch::hasCompletedListing,
				new FleetTotals(this.fleet, this.usage, this.demands, this.clock), this.self.name(),
				this.settings.firstStart());
	}

	/**
	 * Begin to answer.
	 */
	public void start() {
		GatewaySettings.Listen listen = this.settings.listen();
		listen.readiness()
			.ifPresent((address) -> SimpleHttpServer.listen(this.loop, address,
					(request) -> CompletableFuture.completedFuture(readiness())));
		listen.directory()
			.ifPresent((address) -> SimpleHttpServer.listen(this.loop, address,
					(request) -> CompletableFuture.completedFuture(directory(request))));
		listen.peers().ifPresent((address) -> {
			SimpleHttpServer.listen(this.loop, address, this.access.peerService()::answer);
			this.datagrams.start(address);
		});
		MetricsPage metricsPage = new MetricsPage(this.metrics, nodeMetrics());
		listen.metrics()
			.ifPresent((address) -> SimpleHttpServer.listen(this.loop, address,
					(request) -> CompletableFuture.completedFuture(metricsPage.render())));
		this.operatorWatch.start();
		this.serverWatch.start();
		this.board.start();
		listen.callers()
			.ifPresent((address) -> CallerListener.listen(this.loop, address, this.ports.callers(), this.relay,
					() -> this.config.current().map(ServingConfig::limits).orElse(ListenerLimits.DEFAULT)));
		this.loop.scheduleWithFixedDelay(this.pool::closeExpiredConnections, TRIM_EACH_MILLIS, TRIM_EACH_MILLIS,
				TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(() -> this.rollouts.evaluate(this.clock.steadyMillis()), DECIDE_EACH_MILLIS,
				DECIDE_EACH_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(this::readStatuses, 0, STATUS_EACH_MILLIS, TimeUnit.MILLISECONDS);
		this.duties.ifPresent(DutyRunner::start);
		logger.atInfo()
			.log("%s",
					LogLine.of("node started")
						.with("zone", this.settings.zone())
						.with("incarnation", this.self.incarnation())
						.with("firstStart", this.settings.firstStart()));
	}

	/**
	 * Begin a planned stop: callers are sent elsewhere, open requests are finished. May
	 * be called on any thread.
	 * @param end runs when the process may end
	 */
	public void stop(Runnable end) {
		this.loop.execute(() -> beginStop(end));
	}

	private void beginStop(Runnable end) {
		if (!this.leaving) {
			this.leaving = true;
			this.duties.ifPresent(DutyRunner::stop);
			new PlannedStop(this.loop, this.clock, this.relay, this.board, this.metrics::openRequests,
					this.settings.stopTimeoutMillis())
				.start(end);
		}
	}

	private MetricsPage.NodeMetrics nodeMetrics() {
		return new MetricsPage.NodeMetrics() {
			@Override
			public long configVersion() {
				return Gateway.this.config.current().map(ServingConfig::version).orElse(-1L);
			}

			@Override
			public int serverCount() {
				return Gateway.this.servers.size();
			}

			@Override
			public int nodeCount() {
				return Gateway.this.fleet.nodes();
			}

			@Override
			public long millisSinceStoreContact() {
				return Gateway.this.clock.steadyMillis() - Gateway.this.serverWatch.lastContactAtMillis();
			}

			@Override
			public long backendConnectionAttempts() {
				return Gateway.this.pool.connectionAttempts();
			}
		};
	}

	private void readStatuses() {
		if (!this.rollouts.hasRunningRollout()) {
			return;
		}
		this.store.newest(StoreStream.STATUS, Optional.empty()).thenAccept((page) -> {
			page.records()
				.forEach((entry) -> this.ports.records().readStatus(entry).peek(this.rollouts::recordPublishedStatus));
			this.rollouts.markStatusesLoaded();
		}).exceptionally((failure) -> {
			logger.atInfo().log("%s", LogLine.of("rollout statuses not read").with("reason", failure.getMessage()));
			return null;
		});
	}

	private Optional<ClientAccount> findAccount(String name) {
		return this.config.current()
			.flatMap((held) -> held.accounts().stream().filter((account) -> account.name().equals(name)).findFirst());
	}

	private List<Address> peerAddresses() {
		return peerAddresses((report) -> true);
	}

	private List<Address> zonePeerAddresses() {
		return peerAddresses((report) -> report.zone().equals(this.settings.zone()));
	}

	private List<Address> peerAddresses(Predicate<NodeReport> which) {
		return this.settings.listen()
			.peers()
			.map((own) -> this.fleet.recentReports()
				.stream()
				.filter(which)
				.map((report) -> new Address(report.callerAddress().host(), own.port()))
				.toList())
			.orElse(List.of());
	}

	private boolean isReady() {
		return !this.leaving && this.config.current().isPresent() && this.serverWatch.hasCompletedListing();
	}

	private SimpleHttpServer.Response readiness() {
		return isReady() ? SimpleHttpServer.Response.text(200, "ready\n")
				: SimpleHttpServer.Response.text(503, this.leaving ? "leaving\n" : "starting\n");
	}

	private SimpleHttpServer.Response directory(SimpleHttpServer.Request request) {
		Optional<String> zone = this.ports.directory().zoneOf(request);
		if (zone.isEmpty()) {
			return SimpleHttpServer.Response.text(404, "no such page\n");
		}
		this.fleet.advance(this.clock.steadyMillis());
		List<Address> addresses = this.fleet.callerAddressesFor(zone.get(), presence());
		return addresses.isEmpty() ? SimpleHttpServer.Response.text(503, "no node serves\n")
				: this.ports.directory().write(addresses, DIRECTORY_TTL_SECONDS);
	}

	private NodeReport report() {
		long nowMillis = this.clock.steadyMillis();
		Address address = this.settings.listen().callers().orElse(new Address("0.0.0.0", 1));
		return new NodeReport(this.self, address, this.settings.zone(), isReady(), this.clock.timeOfDayMillis(),
				this.quotas.reportDemand(nowMillis), this.usage.newestWindows(REPORTED_WINDOWS),
				this.demands.report(nowMillis), this.rollouts.tallies());
	}

	private NodeReport presence() {
		Address address = this.settings.listen().callers().orElse(new Address("0.0.0.0", 1));
		return new NodeReport(this.self, address, this.settings.zone(), isReady(), this.clock.timeOfDayMillis(),
				Map.of(), Map.of(), List.of(), List.of());
	}

	private void onStarted(Optional<ClientAccount> account, long agoMillis) {
		long windowMillis = this.settings.duties().usageWindowMillis();
		if (account.isPresent() && windowMillis > 0) {
			this.usage.count((trueMillis() - agoMillis) / windowMillis, account.get().name());
		}
	}

	private long trueMillis() {
		return this.fleetClock.correctedTimeOfDayMillis(this.clock.timeOfDayMillis(), this.clock.steadyMillis());
	}

}
