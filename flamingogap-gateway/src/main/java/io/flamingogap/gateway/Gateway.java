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
import io.flamingogap.core.fleet.EntryNodePlacement;
import io.flamingogap.core.fleet.FleetClock;
import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.servers.ColdServers;
import io.flamingogap.core.servers.ColdStartLimiter;
import io.flamingogap.core.servers.EvacuatedZones;
import io.flamingogap.core.servers.NodeLocality;
import io.flamingogap.core.servers.PlacementRules;
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
import io.flamingogap.gateway.memory.AcceptedConnections;
import io.flamingogap.gateway.memory.AnswerMemory;
import io.flamingogap.gateway.node.ColdStartMembers;
import io.flamingogap.gateway.node.MetricsPage;
import io.flamingogap.gateway.node.NodeReportExchange;
import io.flamingogap.gateway.node.OperatorRecordWatcher;
import io.flamingogap.gateway.node.RolloutController;
import io.flamingogap.gateway.node.ServerRegistrationWatcher;
import io.flamingogap.gateway.peers.DepartureExchange;
import io.flamingogap.gateway.peers.PeerDatagramChannel;
import io.flamingogap.gateway.peers.QuotaExchange;
import io.flamingogap.gateway.peers.StoreAccess;
import io.flamingogap.gateway.peers.ZoneLoadExchange;
import io.flamingogap.gateway.peers.ZoneRelaySelector;
import io.flamingogap.gateway.quarantine.QuarantineExchange;
import io.flamingogap.gateway.quarantine.QuarantineStore;
import io.flamingogap.gateway.relay.ColdStartGate;
import io.flamingogap.gateway.relay.RelayDependencies;
import io.flamingogap.gateway.relay.RelayMetrics;
import io.flamingogap.gateway.relay.RequestRelay;
import io.flamingogap.gateway.relay.ServiceDemandTracker;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.UnnumberedReturns;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;

/**
 * An entry node. Creates its components and runs them on one event loop.
 */
public final class Gateway {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long callers may cache a directory response. */
	private static final int DIRECTORY_TTL_SECONDS = 2;

	/**
	 * The number of usage windows in a report. Each window is contained in several
	 * reports, so that no usage is missing if one report is lost.
	 */
	private static final int REPORTED_USAGE_WINDOWS = 3;

	/**
	 * The fraction of the maximum candidate share that is used. The rest is a margin for
	 * random variation.
	 */
	private static final double CANDIDATE_SHARE_FRACTION = 0.8;

	/**
	 * The share of the heap for answers that servers have not completed or callers have
	 * not read.
	 */
	private static final double ANSWER_MEMORY_SHARE = 0.25;

	/** The share of the heap for the requests of callers, arriving and open. */
	private static final double REQUEST_MEMORY_SHARE = 0.35;

	/** The share of the heap for what a connection occupies by itself. */
	private static final double CONNECTION_MEMORY_SHARE = 0.2;

	private static final int CONNECTION_BYTES = 6_144;

	private static final long CONNECTION_EXPIRY_INTERVAL_MILLIS = 1_000;

	private static final long ROLLOUT_EVALUATION_INTERVAL_MILLIS = 250;

	/**
	 * How often published statuses are read to find ended rollouts. Well below the time
	 * allowed to revert a rollout on all nodes.
	 */
	private static final long ROLLOUT_STATUS_INTERVAL_MILLIS = 1_000;

	private final EventLoop loop;

	private final GatewaySettings settings;

	private final PlatformAdapters adapters;

	private final NodeClock clock;

	private final NodeId self;

	private final ConfigHolder config = new ConfigHolder();

	private final ServerTable servers = new ServerTable();

	private final EvacuatedZones evacuatedZones;

	private final EntryNodePlacement entryNodePlacement;

	private final UsageCounts usage = new UsageCounts();

	private final FleetClock fleetClock = new FleetClock();

	private final RelayMetrics metrics = new RelayMetrics();

	private final AnswerMemory answerMemory = new AnswerMemory(
			(long) (Runtime.getRuntime().maxMemory() * ANSWER_MEMORY_SHARE));

	private final AcceptedConnections connections;

	private final ServiceDemandTracker demandTracker = new ServiceDemandTracker();

	private final ColdServers coldServers = new ColdServers();

	private final ColdStartMembers coldStartMembers;

	private final FleetView fleet;

	private final RolloutController rollouts;

	private final QuotaExchange quotas;

	private final BackendConnectionPool connectionPool;

	private final QuarantineExchange quarantine;

	private final RequestRelay relay;

	private final RecordStore store;

	private final StoreAccess storeAccess;

	private final PeerDatagramChannel datagrams;

	private final ZoneLoadExchange zoneLoads;

	private final NodeReportExchange reportExchange;

	private final ServerRegistrationWatcher serverWatcher;

	private final OperatorRecordWatcher operatorWatcher;

	private final Optional<DutyRunner> dutyRunner;

	private boolean stopping;

	private long reportsWritten;

	/**
	 * Create a node that isn't started.
	 * @param loop the event loop that runs all of the node
	 * @param settings the settings of the node
	 * @param adapters the platform's implementations of the gateway's interfaces
	 * @param clock the clocks of this process
	 * @param incarnation a random number that identifies this run of the node; also the
	 * seed of its random decisions
	 */
	public Gateway(EventLoop loop, GatewaySettings settings, PlatformAdapters adapters, NodeClock clock,
			long incarnation) {
		this.loop = loop;
		this.settings = settings;
		this.adapters = adapters;
		this.clock = clock;
		this.self = new NodeId(settings.node(), incarnation);
		this.evacuatedZones = new EvacuatedZones(settings.regionsByZone().keySet());
		this.entryNodePlacement = new EntryNodePlacement(settings.regionsByZone());
		PlacementRules placementRules = new PlacementRules(settings.regionsByZone(), this.evacuatedZones);
		this.fleet = new FleetView(this.self, NodeReportExchange.REPORT_INTERVAL_MILLIS);
		SplittableRandom random = new SplittableRandom(incarnation);
		long heapBytes = Runtime.getRuntime().maxMemory();
		this.connections = new AcceptedConnections(
				(int) Math.min(settings.maxConnections(),
						Math.max(1, heapBytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES)),
				(long) (heapBytes * REQUEST_MEMORY_SHARE), clock::steadyMillis, this.metrics::increment,
				random.split());
		this.rollouts = new RolloutController(this.servers, this.fleet, random,
				settings.duties().maxCandidateShare() * CANDIDATE_SHARE_FRACTION);
		this.connectionPool = new BackendConnectionPool(loop, adapters.backendProtocol(), clock::steadyMillis);
		this.datagrams = new PeerDatagramChannel(loop);
		this.storeAccess = new StoreAccess(loop, adapters.store(), createZoneRelaySelector(), this::peerAddresses,
				clock::steadyMillis);
		this.store = this.storeAccess.store();
		UnnumberedReturns unnumberedReturns = new UnnumberedReturns();
		unnumberedReturns.addListener(this.storeAccess::forgetRecords);
		QuarantineStore quarantineStore = new QuarantineStore(this.store, clock);
		this.quarantine = new QuarantineExchange(loop, this.datagrams, this::peerAddresses, this.connectionPool,
				(server) -> !this.evacuatedZones.contains(server.zone()), quarantineStore, clock, this.metrics, random);
		this.zoneLoads = new ZoneLoadExchange(loop, this.datagrams, settings.node(), this.servers,
				this::zonePeerAddresses, clock::steadyMillis);
		this.quotas = new QuotaExchange(loop, this.datagrams, this.fleet, this.config, settings, clock,
				this::isFleetListed, random.nextLong(Long.MAX_VALUE / 2));
		DepartureExchange departures = new DepartureExchange(this.datagrams, this::peerAddresses, this.servers,
				this.metrics);
		ColdStartLimiter coldStartLimiter = new ColdStartLimiter(settings.node(), settings.zone());
		RelayDependencies relayDependencies = new RelayDependencies(loop, clock, this.config, this.servers,
				new ServerSelector(new NodeLocality(settings.zone(), settings.regionsByZone())), this.rollouts,
				this.connectionPool, this.quotas, this.fleet::nodes, this.metrics, this.demandTracker, this.zoneLoads,
				departures::tell, this.quarantine,
				new ColdStartGate(this.coldServers, coldStartLimiter, this.config, this.metrics), this.answerMemory,
				random, placementRules);
		this.relay = new RequestRelay(relayDependencies, settings.relayLimits(), this::onRequestStarted);
		this.reportExchange = new NodeReportExchange(loop, this.store, this.storeAccess.reports(), this.fleet,
				this.fleetClock, clock, this::createReport, this::isReady, this.quotas::recordPreviousRun,
				this.quotas::onFleetListed, quarantineStore::accept, quarantineStore::onStoreRestored,
				unnumberedReturns);
		this.coldStartMembers = new ColdStartMembers(loop, coldStartLimiter, this.fleet, this.reportExchange,
				this.config, this::isReady, clock);
		this.serverWatcher = new ServerRegistrationWatcher(loop, this.store, adapters.recordCodec(), this.servers,
				this.coldServers, this.metrics, clock, this.reportExchange::publishFirstReportIfReady,
				unnumberedReturns);
		this.operatorWatcher = new OperatorRecordWatcher(loop, this.store, adapters.recordCodec(), this.config,
				this.rollouts, this.evacuatedZones, placementRules, this.metrics, clock,
				this.reportExchange::publishFirstReportIfReady, unnumberedReturns);
		this.dutyRunner = adapters.cloud()
			.map((cloud) -> new DutyRunner(createDutyDependencies(cloud), settings.duties().leaseMillis(),
					settings.duties().fencing(), settings.duties().usageWindowMillis()));
		this.dutyRunner.ifPresent((runner) -> unnumberedReturns.addListener(runner::onStoreRestored));
	}

	private ZoneRelaySelector createZoneRelaySelector() {
		Optional<Integer> port = this.settings.listen().peers().map(Address::port);
		return new ZoneRelaySelector(this.fleet, this.settings.zone(), this.self.name(), port,
				this.clock::steadyMillis);
	}

	private DutyDependencies createDutyDependencies(CloudApi cloud) {
		// The duties use the store itself; the other components may reach it through
		// other nodes.
		return new DutyDependencies(this.loop, this.adapters.store(), this.adapters.recordCodec(), cloud, this.clock,
				this::correctedTimeOfDayMillis, this.config, this.rollouts, this.servers,
				this.serverWatcher::hasCompletedListing,
				new FleetTotals(this.fleet, this.usage, this.demandTracker, this.clock), this.self.name(),
				this.settings.firstStart(), this.evacuatedZones, this.reportExchange::nextOffset);
	}

	/**
	 * Start listening, following the store, and the periodic work.
	 */
	public void start() {
		GatewaySettings.Listen listen = this.settings.listen();
		listen.readiness()
			.ifPresent((address) -> SimpleHttpServer.listen(this.loop, address, this.connections, this.answerMemory,
					(request) -> CompletableFuture.completedFuture(readinessResponse())));
		listen.directory()
			.ifPresent((address) -> SimpleHttpServer.listen(this.loop, address, this.connections, this.answerMemory,
					(request) -> CompletableFuture.completedFuture(directoryResponse(request))));
		listen.peers().ifPresent((address) -> {
			SimpleHttpServer.listen(this.loop, address, this.connections, this.answerMemory,
					this.storeAccess.peerService()::answer);
			this.datagrams.start(address);
		});
		MetricsPage metricsPage = new MetricsPage(this.metrics, createNodeMetrics());
		listen.metrics()
			.ifPresent((address) -> SimpleHttpServer.listen(this.loop, address, this.connections, this.answerMemory,
					(request) -> CompletableFuture.completedFuture(metricsPage.render())));
		this.operatorWatcher.start();
		this.serverWatcher.start();
		this.reportExchange.start();
		this.coldStartMembers.start();
		this.quotas.start();
		this.quarantine.start();
		listen.callers()
			.ifPresent((address) -> CallerListener.listen(this.loop, address, this.adapters.callerProtocol(),
					this.relay, this.answerMemory, this.connections,
					() -> this.config.current().map(ServingConfig::limits).orElse(ListenerLimits.DEFAULT)));
		this.loop.scheduleWithFixedDelay(LoggedTask.of("connections", this.connectionPool::closeExpiredConnections),
				CONNECTION_EXPIRY_INTERVAL_MILLIS, CONNECTION_EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(
				LoggedTask.of("rollouts", () -> this.rollouts.evaluate(this.clock.steadyMillis())),
				ROLLOUT_EVALUATION_INTERVAL_MILLIS, ROLLOUT_EVALUATION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(LoggedTask.of("rollout statuses", this::readRolloutStatuses), 0,
				ROLLOUT_STATUS_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.dutyRunner.ifPresent(DutyRunner::start);
		logger.atInfo()
			.log("%s",
					LogLine.of("node started")
						.with("zone", this.settings.zone())
						.with("incarnation", this.self.incarnation())
						.with("firstStart", this.settings.firstStart()));
	}

	/**
	 * Start a graceful shutdown, which directs callers to other nodes and finishes open
	 * requests. Does nothing if one was started before. May be called on any thread.
	 * @param onStopped runs when the process may exit
	 */
	public void stop(Runnable onStopped) {
		this.loop.execute(() -> startShutdown(onStopped));
	}

	private void startShutdown(Runnable onStopped) {
		if (!this.stopping) {
			this.stopping = true;
			this.dutyRunner.ifPresent(DutyRunner::stop);
			new GracefulShutdown(this.loop, this.clock, this.relay, this.reportExchange,
					() -> this.metrics.openRequests() + this.connections.unsentAnswers(),
					this.settings.stopTimeoutMillis())
				.start(onStopped);
		}
	}

	private MetricsPage.NodeMetrics createNodeMetrics() {
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
			public int evacuatedZoneCount() {
				return Gateway.this.evacuatedZones.zones().size();
			}

			@Override
			public int nodeCount() {
				return Gateway.this.fleet.nodes();
			}

			@Override
			public long millisSinceStoreContact() {
				return Gateway.this.clock.steadyMillis() - Gateway.this.serverWatcher.lastContactAtMillis();
			}

			@Override
			public long storeTimeline() {
				return Gateway.this.store.timeline();
			}

			@Override
			public long answerBytes() {
				return Gateway.this.answerMemory.totalBytes();
			}

			@Override
			public long requestBytes() {
				return Gateway.this.connections.requestBytes();
			}

			@Override
			public int acceptedConnections() {
				return Gateway.this.connections.size();
			}

			@Override
			public long backendConnectionAttempts() {
				return Gateway.this.connectionPool.connectionAttempts();
			}
		};
	}

	private void readRolloutStatuses() {
		if (!this.rollouts.hasRunningRollout()) {
			return;
		}
		this.store.listNewest(StoreStream.STATUS, Optional.empty()).thenAccept((page) -> {
			if (page.timeline() < this.store.timeline()) {
				// The store may have lost what the page lists.
				return;
			}
			page.records()
				.forEach((entry) -> this.adapters.recordCodec()
					.decodeStatus(entry)
					.peek(this.rollouts::recordPublishedStatus));
			this.rollouts.markStatusesLoaded();
		}).exceptionally((failure) -> {
			logger.atInfo()
				.log("%s", LogLine.of("rollout statuses not read")
					.with("reason", String.valueOf(StoreException.of(failure).getMessage())));
			return null;
		});
	}

	private boolean isFleetListed() {
		return this.reportExchange.hasCompletedListing();
	}

	private List<Address> peerAddresses() {
		return peerAddresses((report) -> true);
	}

	private List<Address> zonePeerAddresses() {
		return peerAddresses((report) -> report.zone().equals(this.settings.zone()));
	}

	private List<Address> peerAddresses(Predicate<NodeReport> filter) {
		return this.settings.listen()
			.peers()
			.map((ownAddress) -> this.fleet.recentReports()
				.stream()
				.filter(filter)
				.map((report) -> new Address(report.callerAddress().host(), ownAddress.port()))
				.toList())
			.orElse(List.of());
	}

	private boolean isReady() {
		return !this.stopping && this.config.current().isPresent() && this.serverWatcher.hasCompletedListing();
	}

	private SimpleHttpServer.Response readinessResponse() {
		return isReady() ? SimpleHttpServer.Response.text(200, "ready\n")
				: SimpleHttpServer.Response.text(503, this.stopping ? "leaving\n" : "starting\n");
	}

	private SimpleHttpServer.Response directoryResponse(SimpleHttpServer.Request request) {
		Optional<EntryNodePlacement.Lookup> lookup = this.adapters.directoryProtocol().parseLookup(request);
		if (lookup.isEmpty()) {
			return SimpleHttpServer.Response.text(404, "no such page\n");
		}
		this.fleet.setCurrentTime(this.clock.steadyMillis());
		List<Address> addresses = this.entryNodePlacement.addressesFor(lookup.get(), this.fleet,
				createOwnDirectoryEntry(), this.config.current());
		return addresses.isEmpty() ? SimpleHttpServer.Response.text(503, "no entry node accepts requests\n")
				: this.adapters.directoryProtocol().encodeResponse(addresses, DIRECTORY_TTL_SECONDS);
	}

	private NodeReport createReport() {
		// A node without an address for callers reports a placeholder.
		Address address = this.settings.listen().callers().orElse(new Address("0.0.0.0", 1));
		this.reportsWritten++;
		return new NodeReport(this.self, this.reportsWritten, address, this.settings.zone(), isReady(),
				this.clock.timeOfDayMillis(), this.usage.newestWindows(REPORTED_USAGE_WINDOWS),
				this.demandTracker.report(this.clock.steadyMillis()), this.rollouts.tallies());
	}

	private NodeReport createOwnDirectoryEntry() {
		// A node without an address for callers reports a placeholder.
		Address address = this.settings.listen().callers().orElse(new Address("0.0.0.0", 1));
		return new NodeReport(this.self, this.reportsWritten, address, this.settings.zone(), isReady(),
				this.clock.timeOfDayMillis(), Map.of(), List.of(), List.of());
	}

	private void onRequestStarted(Optional<ClientAccount> account, long millisSinceServerBegan) {
		long windowMillis = this.settings.duties().usageWindowMillis();
		if (account.isPresent() && windowMillis > 0) {
			this.usage.count((correctedTimeOfDayMillis() - millisSinceServerBegan) / windowMillis,
					account.get().name());
		}
	}

	private long correctedTimeOfDayMillis() {
		return this.fleetClock.correctedTimeOfDayMillis(this.clock.timeOfDayMillis(), this.clock.steadyMillis());
	}

}
