package io.flamingogap.daemon;

import java.io.IOException;
import java.net.http.HttpClient;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.apache.thrift.TException;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.membership.MemberState;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.LedgerLimits;
import io.flamingogap.core.request.RequestLedger;
import io.flamingogap.core.rollout.TakeBack;
import io.flamingogap.daemon.admin.AdminHandler;
import io.flamingogap.daemon.admin.RequestTimingHandler;
import io.flamingogap.daemon.backends.BackendClient;
import io.flamingogap.daemon.backends.BackendServers;
import io.flamingogap.daemon.backends.LoadPoller;
import io.flamingogap.daemon.backends.ModelStreamClient;
import io.flamingogap.daemon.backends.PlainServiceClient;
import io.flamingogap.daemon.callers.CallerHandler;
import io.flamingogap.daemon.callers.CompletionsHandler;
import io.flamingogap.daemon.callers.KeyStatusHandler;
import io.flamingogap.daemon.callers.PlainServiceHandler;
import io.flamingogap.daemon.cloud.CloudClient;
import io.flamingogap.daemon.cloud.CloudWatcher;
import io.flamingogap.daemon.http.HttpListener;
import io.flamingogap.daemon.nodes.Membership;
import io.flamingogap.daemon.nodes.NodeClients;
import io.flamingogap.daemon.nodes.NodeServer;
import io.flamingogap.daemon.nodes.PeerLinks;
import io.flamingogap.daemon.operators.OperatorApi;
import io.flamingogap.daemon.operators.OperatorHandler;
import io.flamingogap.daemon.platformlog.AuditEntry;
import io.flamingogap.daemon.platformlog.AuditTrail;
import io.flamingogap.daemon.platformlog.ConfigFollower;
import io.flamingogap.daemon.platformlog.ConfigPublisher;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.platformlog.PlatformLogClient;
import io.flamingogap.daemon.platformlog.RequestTransitionLog;
import io.flamingogap.daemon.platformlog.SnapshotPublisher;
import io.flamingogap.daemon.requests.Dispatcher;
import io.flamingogap.daemon.requests.KeyedRequests;
import io.flamingogap.daemon.rollouts.RolloutMonitor;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.settings.Settings;

/**
 * An entry node. Creates its components, connects them, and starts and closes them.
 */
public final class EntryNode implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int ADMIN_THREADS = 4;

	/**
	 * The threads for operators and for callers that exceed the limit and are refused.
	 */
	private static final int EXTRA_CALLER_THREADS = 64;

	/** The idle timeout of a neighbour's connection, as a multiple of silentMillis. */
	private static final int IDLE_TIMEOUT_FACTOR = 30;

	private final Membership membership;

	private final Configuration configuration;

	private final ConfigFollower follower;

	private final AuditTrail audit;

	private final Rollouts rollouts;

	private final RolloutMonitor rolloutMonitor;

	private final RequestTransitionLog records;

	private final SnapshotPublisher snapshots;

	private final LoadPoller loadPoller;

	private final CloudWatcher cloudWatcher;

	private final NodeServer nodeServer;

	private final PeerLinks links;

	private final HttpListener callerListener;

	private final HttpListener adminListener;

	private final CallerHandler callerHandler;

	private final NodeLifecycle lifecycle;

	private final ExecutorService executor;

	private EntryNode(Settings settings, Clock clock, long incarnation) throws IOException, TException {
		NodeId self = new NodeId(settings.node().name(), incarnation);
		this.executor = Executors.newCachedThreadPool();
		HttpClient platformClient = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(Duration.ofMillis(settings.platform().logTimeoutMillis()))
			.executor(this.executor)
			.build();
		PlatformLogClient log = new PlatformLogClient(platformClient, Address.parse(settings.platform().logAddress()),
				settings.platform().logTimeoutMillis());
		this.configuration = new Configuration(Set.of(settings.operators().bootstrapName()), (state) -> {
		});
		this.follower = new ConfigFollower(log, this.configuration, settings.platform().logWaitMillis());
		this.audit = new AuditTrail(log);
		this.membership = new Membership(ownMember(settings, self), clock);
		NodeClients nodeClients = new NodeClients(self, settings.nodes().sharedSecret(), clock);
		BackendServers servers = new BackendServers(this.configuration::manifest, settings.node().zone());
		BackendClient backendClient = new BackendClient(settings.requests().connectTimeoutMillis());
		this.rollouts = new Rollouts(self, this.configuration::manifest, clock);
		this.rolloutMonitor = new RolloutMonitor(this.rollouts, log);
		this.snapshots = new SnapshotPublisher(log, this.configuration, this::ownRank,
				settings.platform().snapshotMillis(), clock);
		this.records = new RequestTransitionLog(log, () -> this.membership.members().size());
		this.loadPoller = new LoadPoller(this.configuration::manifest, servers, backendClient);
		Dispatcher dispatcher = new Dispatcher(this.configuration, servers, backendClient,
				settings.requests().answerTimeoutMillis(), this.rollouts, () -> lifecycle().lastDispatchMillis(),
				clock);
		KeyedRequests requests = new KeyedRequests(new RequestLedger(self, limits(settings.requests())), dispatcher,
				this.membership, nodeClients, this.records, this.executor, clock);
		this.membership.addListener(requests::recordLostDispatchers);
		this.lifecycle = new NodeLifecycle(settings, this.membership, requests, nodeClients, this.audit, clock);
		this.callerHandler = new CallerHandler(this.configuration, this.membership,
				new CompletionsHandler(this.configuration,
						new ModelStreamClient(backendClient, servers, this.rollouts, clock), this.rollouts,
						this.lifecycle::shouldMoveStreams),
				new PlainServiceHandler(this.configuration,
						new PlainServiceClient(backendClient, servers, this.rollouts, clock), requests, this.rollouts,
						clock),
				new KeyStatusHandler(requests, this.membership, nodeClients, this.records), settings.callers(), clock);
		this.cloudWatcher = new CloudWatcher(
				new CloudClient(platformClient, Address.parse(settings.platform().cloudAddress())), servers,
				settings.node().name(), settings.platform().cloudPollMillis(), clock,
				(notice) -> this.lifecycle.reclaim(notice, this.callerHandler::openRequests));
		this.nodeServer = NodeServer.create(settings.nodes(), Address.parse(settings.listen().nodeAddress()),
				(int) settings.nodes().silentMillis() * IDLE_TIMEOUT_FACTOR, this.membership, this.configuration,
				this.rollouts, requests, clock);
		this.links = new PeerLinks(settings.nodes(), this.membership, this.configuration, this.rollouts,
				this.cloudWatcher::seedAddresses);
		OperatorApi api = new OperatorApi(this.configuration, this.follower,
				new ConfigPublisher(log, this.configuration, this.follower), this.membership, requests, this.rollouts,
				this.audit, log, this::stop, clock);
		OperatorHandler operators = new OperatorHandler(this.configuration, settings.operators(), api);
		PrometheusMeterRegistry registry = registry(requests);
		this.callerListener = new HttpListener(Address.parse(settings.listen().callerAddress()),
				settings.callers().maxOpenRequests() + EXTRA_CALLER_THREADS,
				new RequestTimingHandler(registry, (exchange) -> route(exchange, operators)));
		this.adminListener = new HttpListener(Address.parse(settings.listen().adminAddress()), ADMIN_THREADS,
				new AdminHandler(registry, this::isReady));
	}

	/**
	 * Create a node with a new random incarnation number and bind its addresses.
	 * @param settings the settings
	 * @param clock provides the current time
	 * @return the node, which handles requests after {@link #start()}
	 * @throws IOException if the address for callers or the admin address can't be bound
	 * @throws TException if the address for other nodes can't be bound
	 */
	public static EntryNode create(Settings settings, Clock clock) throws IOException, TException {
		return new EntryNode(settings, clock, new SecureRandom().nextLong());
	}

	private NodeLifecycle lifecycle() {
		return this.lifecycle;
	}

	private static Member ownMember(Settings settings, NodeId self) {
		return new Member(self, settings.node().zone(), Address.parse(settings.listen().callerAddress()),
				Address.parse(settings.listen().reachableNodeAddress()), MemberState.SERVING, 1, false, null);
	}

	private static LedgerLimits limits(Settings.Requests requests) {
		return new LedgerLimits(requests.maxEntries(), requests.maxKeptBytes(), requests.firstUseMillis(),
				requests.retentionMillis(), requests.firstUseMillis());
	}

	private PrometheusMeterRegistry registry(KeyedRequests requests) {
		PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
		Gauge.builder("flamingogap.config.offset", this.configuration, (source) -> source.state().acceptedOffset())
			.description("Offset of the manifest in force")
			.register(registry);
		Gauge.builder("flamingogap.ledger.keys", requests, (source) -> source.withLedger(RequestLedger::size))
			.description("Keys in the ledger")
			.register(registry);
		Gauge.builder("flamingogap.ledger.bytes", requests, (source) -> source.withLedger(RequestLedger::keptBytes))
			.description("Bytes of kept requests and answers")
			.register(registry);
		Gauge
			.builder("flamingogap.members.serving", this.membership,
					(source) -> source.members().stream().filter(Member::isServing).count())
			.description("Entry nodes that serve and are heard")
			.register(registry);
		Gauge.builder("flamingogap.log.reachable", this.follower, (source) -> source.isLogReachable() ? 1 : 0)
			.description("1 if the last read of the platform log was answered")
			.register(registry);
		return registry;
	}

	private void route(HttpExchange exchange, OperatorHandler operators) throws IOException {
		if (exchange.getRequestURI().getPath().startsWith(OperatorHandler.PREFIX)) {
			operators.handle(exchange);
		}
		else {
			this.callerHandler.handle(exchange);
		}
	}

	private int ownRank() {
		return (int) this.membership.members()
			.stream()
			.filter(Member::isServing)
			.takeWhile((member) -> !member.equals(this.membership.localMember()))
			.count();
	}

	private boolean isReady() {
		return this.membership.localMember().isServing() && this.configuration.state().acceptedOffset() > 0;
	}

	/**
	 * Start all components. The callers' listener is the last to start.
	 */
	public void start() {
		this.audit.start();
		this.follower.start();
		this.rollouts.addListener(this::handleTakeBack);
		this.rolloutMonitor.start();
		this.records.start();
		this.snapshots.start();
		this.loadPoller.start();
		this.cloudWatcher.start();
		this.nodeServer.start();
		this.links.start();
		this.adminListener.start();
		this.callerListener.start();
		logger.atInfo().log("node %s started", this.membership.localMember().node());
	}

	/**
	 * Send a take-back to the neighbours immediately. The node that made the decision
	 * also records it in the platform log and the audit trail.
	 * @param decision the decision to take a rollout back
	 */
	private void handleTakeBack(TakeBack decision) {
		this.links.triggerHeartbeats();
		String own = this.membership.localMember().node().toString();
		if (decision.by().equals(own) || decision.by().endsWith("@" + own)) {
			this.rolloutMonitor.persist(decision);
			this.audit.record(new AuditEntry(decision.atMillis(), this.membership.localMember().node().name(),
					decision.by(), "take back", decision.rollout().service() + " " + decision.rollout().candidate(),
					decision.reason(), this.configuration.state().acceptedOffset()));
		}
	}

	/**
	 * Start a planned stop, unless the node is already stopping.
	 * @param who the operator or process that requested the stop
	 * @param cause the reason, as recorded in the audit trail
	 */
	public void stop(String who, String cause) {
		this.lifecycle.stop(who, cause, this.callerHandler::openRequests);
	}

	/**
	 * Wait until the node has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStopped() throws InterruptedException {
		this.lifecycle.awaitStopped();
	}

	@Override
	public void close() {
		this.records.flush();
		this.audit.flush();
		List.<AutoCloseable>of(this.callerListener, this.adminListener, this.links, this.nodeServer, this.cloudWatcher,
				this.rolloutMonitor, this.records, this.snapshots, this.loadPoller, this.follower, this.audit)
			.forEach(EntryNode::closeQuietly);
		this.executor.shutdownNow();
	}

	private static void closeQuietly(AutoCloseable component) {
		try {
			component.close();
		}
		catch (Exception ex) {
			logger.atWarning().withCause(ex).log("failed to close a component of the node");
		}
	}

}
