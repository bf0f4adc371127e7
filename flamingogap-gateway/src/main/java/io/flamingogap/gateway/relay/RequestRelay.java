package io.flamingogap.gateway.relay;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.attempt.Attempt;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.limits.WindowedRetryBudget;
import io.flamingogap.core.quota.QuotaCharge;
import io.flamingogap.core.quota.QuotaDecision;
import io.flamingogap.core.servers.ReturnTime;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.RequestKind;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.callers.CallerConnectionListener;
import io.flamingogap.gateway.callers.CallerExchange;
import io.flamingogap.gateway.callers.CallerRequest;
import io.flamingogap.gateway.callers.CallerRequestHandler;
import io.flamingogap.gateway.log.LogLine;

/**
 * Accepts callers' requests. Finds the route, authenticates the client account, applies
 * quotas and limits, and relays the requests that it admits.
 */
public final class RequestRelay implements CallerRequestHandler {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Used if the caller states no time budget; the timeout of the route applies. */
	private static final long UNLIMITED_BUDGET_MILLIS = Long.MAX_VALUE / 4;

	/**
	 * The fraction of the fleet's retry allowance that the known nodes divide among
	 * themselves. The rest is for nodes that are starting.
	 */
	private static final double RETRY_ALLOWANCE_FRACTION = 0.6;

	private static final String STOPPING = "the node is stopping";

	private static final CallerConnectionListener NO_OP_REQUEST = new CallerConnectionListener() {
		@Override
		public void onCallerDisconnected() {
		}

		@Override
		public void onCallerWritable() {
		}
	};

	private final RelayDependencies dependencies;

	private final RelayLimits limits;

	private final RequestStartListener startListener;

	private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();

	private final Set<RelayedRequest> openRequests = new LinkedHashSet<>();

	private AdmissionState admissionState = AdmissionState.OPEN;

	/** When the process ends, on the monotonic clock; no limit unless it is stopping. */
	private long endsAtMillis = Long.MAX_VALUE;

	/**
	 * Create a relay that admits requests.
	 * @param dependencies the collaborators
	 * @param limits the retry, quota and buffer limits
	 * @param startListener notified when a backend server begins to process a request
	 */
	public RequestRelay(RelayDependencies dependencies, RelayLimits limits, RequestStartListener startListener) {
		this.dependencies = dependencies;
		this.limits = limits;
		this.startListener = startListener;
	}

	/**
	 * Close connections after their response from now on, and refuse plain requests that
	 * may last until the process ends.
	 * @param endsAtMillis when the process ends, on the monotonic clock
	 */
	public void startDraining(long endsAtMillis) {
		this.admissionState = AdmissionState.DRAINING;
		this.endsAtMillis = endsAtMillis;
	}

	/**
	 * Refuse new requests from now on. Those that are admitted go on.
	 */
	public void close() {
		this.admissionState = AdmissionState.CLOSED;
	}

	/**
	 * End the requests that are still open, since the process ends: those whose response
	 * hasn't begun get a failure, the others are broken off.
	 */
	public void endOpenRequests() {
		List.copyOf(this.openRequests).forEach(RelayedRequest::endWithProcess);
	}

	@Override
	public boolean allowsKeepAlive() {
		return this.admissionState == AdmissionState.OPEN;
	}

	@Override
	public CallerConnectionListener handle(CallerRequest request, CallerExchange exchange) {
		Optional<ServingConfig> config = this.dependencies.config().current();
		if (config.isEmpty()) {
			return refuse(request, exchange, overloaded("the node has not received a configuration yet"),
					returnMillis());
		}
		if (this.admissionState == AdmissionState.CLOSED) {
			return refuse(request, exchange, overloaded(STOPPING), 0);
		}
		Optional<RouteRule> route = config.get().findRoute(request.host(), request.path());
		if (route.isEmpty()) {
			return refuse(request, exchange,
					Failure.notRun(ProblemType.NOT_FOUND, Step.PARSE, "caller", "no route for host " + request.host()
							+ " and path " + request.path() + " in configuration version " + config.get().version()),
					-1);
		}
		return authenticate(request, exchange, config.get(), route.get());
	}

	private long returnMillis() {
		return ReturnTime.whenBusy(this.dependencies.random().nextDouble());
	}

	private CallerConnectionListener authenticate(CallerRequest request, CallerExchange exchange, ServingConfig config,
			RouteRule route) {
		Optional<ClientAccount> account = Optional.empty();
		if (config.requiresKeys() && !route.isPublic()) {
			account = request.accountKey().flatMap(config::findAccount);
			if (account.isEmpty()) {
				return refuse(request, exchange,
						Failure.notRun(ProblemType.UNAUTHENTICATED, Step.AUTHENTICATE, "caller",
								"the request carries no key or one that is unknown in configuration version "
										+ config.version()),
						-1);
			}
		}
		return admit(request, exchange, route, account);
	}

	private CallerConnectionListener admit(CallerRequest request, CallerExchange exchange, RouteRule route,
			Optional<ClientAccount> account) {
		if (mayOutlastProcess(request, route)) {
			return refuse(request, exchange, overloaded(STOPPING), 0);
		}
		long bytes = request.body().readableBytes();
		if (this.dependencies.metrics().requestBodyBytes() + bytes > this.limits.maxBufferedBytes()) {
			return refuse(request, exchange,
					overloaded("with " + bytes
							+ " bytes of this request, the bodies of open requests would exceed the node's limit of "
							+ this.limits.maxBufferedBytes() + " bytes"),
					returnMillis());
		}
		String service = route.chooseService(this.dependencies.random().nextDouble());
		GuardedRequest guarded = new GuardedRequest(service, account.map(ClientAccount::name).orElse(""), request);
		OptionalLong quarantineMillis = this.dependencies.requestGuard().admit(guarded);
		if (quarantineMillis.isPresent()) {
			return refuse(request, exchange, Failure.notRun(ProblemType.QUARANTINED, Step.ADMIT, "caller",
					"service " + service + ": " + RelayedRequest.QUARANTINED), quarantineMillis.getAsLong());
		}
		if (account.isEmpty()) {
			return relay(request, exchange, route, guarded, account, QuotaCharge.NONE);
		}
		PendingAdmission pending = new PendingAdmission(() -> request.body().release(),
				(charge) -> this.dependencies.quotaGate().refund(account.get(), charge));
		long cost = account.get().quota().cost(request.statedTotalTokens());
		this.dependencies.quotaGate()
			.admit(account.get(), cost, (decision, charge) -> pending
				.decide(charge, () -> decision.isAdmitted() ? relay(request, exchange, route, guarded, account, charge)
						: refuse(request, exchange, quotaExceeded(account.get(), decision), decision.waitMillis())));
		return pending;
	}

	/**
	 * Return whether a plain request may last until the process ends. Streams seldom last
	 * as long as they may.
	 * @param request the request
	 * @param route its route
	 * @return {@code true} if the request is better served by another node
	 */
	private boolean mayOutlastProcess(CallerRequest request, RouteRule route) {
		long limitMillis = Math.min(request.budgetMillis().orElse(UNLIMITED_BUDGET_MILLIS), route.timeoutMillis());
		return route.kind() != RequestKind.STREAM
				&& limitMillis > this.endsAtMillis - this.dependencies.clock().steadyMillis();
	}

	private CallerConnectionListener relay(CallerRequest request, CallerExchange exchange, RouteRule route,
			GuardedRequest guarded, Optional<ClientAccount> account, QuotaCharge charge) {
		long nowMillis = this.dependencies.clock().steadyMillis();
		Attempt attempt = new Attempt(route, request.budgetMillis().orElse(UNLIMITED_BUDGET_MILLIS), nowMillis);
		WindowedRetryBudget retryBudget = this.retryBudgets.computeIfAbsent(guarded.service(),
				(name) -> new WindowedRetryBudget(this.limits.retryRatio(), this.limits.retryWindowMillis()));
		retryBudget.recordRequest(nowMillis);
		RelayedRequest relayed = new RelayedRequest(this.dependencies, request, exchange, attempt, guarded, account,
				new RelayedRequest.Callbacks(() -> trySpendRetry(retryBudget), () -> refund(account, charge),
						this.startListener, this.openRequests::remove));
		this.openRequests.add(relayed);
		relayed.start();
		return relayed;
	}

	private static Failure quotaExceeded(ClientAccount account, QuotaDecision decision) {
		String detail = decision.holder().isEmpty()
				? String.format(Locale.ROOT,
						"quota of account %s: no node that holds it answered or admits %d units now", account.name(),
						decision.missingUnits())
				: String.format(Locale.ROOT,
						"quota of account %s exceeded: %d units missing; node %s, which holds a share, has %d units "
								+ "available",
						account.name(), decision.missingUnits(), decision.holder(), decision.availableUnits());
		return Failure.notRun(ProblemType.TOO_MANY_REQUESTS, Step.ADMIT, "caller", detail);
	}

	private boolean trySpendRetry(WindowedRetryBudget retryBudget) {
		double allowance = this.limits.extraRetriesPerWindow() * RETRY_ALLOWANCE_FRACTION
				/ this.dependencies.knownNodes().getAsInt();
		return retryBudget.trySpend(allowance, this.dependencies.clock().steadyMillis());
	}

	private void refund(Optional<ClientAccount> account, QuotaCharge charge) {
		account.ifPresent((found) -> this.dependencies.quotaGate().refund(found, charge));
	}

	private static Failure overloaded(String detail) {
		return Failure.notRun(ProblemType.OVERLOADED, Step.ADMIT, "caller", detail);
	}

	private CallerConnectionListener refuse(CallerRequest request, CallerExchange exchange, Failure failure,
			long retryAfterMillis) {
		request.body().release();
		this.dependencies.metrics().increment("refused." + failure.type().status());
		long configVersion = this.dependencies.config().current().map(ServingConfig::version).orElse(-1L);
		logger.atInfo()
			.log("%s",
					LogLine.of("request refused")
						.with("request", request.attemptId())
						.with("status", failure.type().status())
						.with("step", failure.step().name())
						.with("reason", failure.detail())
						.with("configVersion", configVersion)
						.with("configAgeMillis", (configVersion >= 0)
								? this.dependencies.config().ageMillis(this.dependencies.clock().steadyMillis()) : -1));
		exchange.fail(failure, retryAfterMillis);
		return NO_OP_REQUEST;
	}

	/**
	 * Whether new requests are admitted and callers' connections are kept alive.
	 */
	public enum AdmissionState {

		/** New requests are admitted and connections are kept alive. */
		OPEN,

		/** New requests are admitted; connections are closed after the response. */
		DRAINING,

		/** New requests are refused. */
		CLOSED

	}

	/**
	 * Receives a notification when a backend server begins to process a request.
	 */
	public interface RequestStartListener {

		/**
		 * Receive the start of a request. Called at most once for each request.
		 * @param account the client account; empty if the route needs none
		 * @param millisSinceStart how long ago the server began, in milliseconds
		 */
		void onRequestStarted(Optional<ClientAccount> account, long millisSinceStart);

	}

}
