package io.flamingogap.gateway.relay;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.attempt.Attempt;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.limits.WindowedRetryBudget;
import io.flamingogap.core.quota.QuotaDecision;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.callers.CallerExchange;
import io.flamingogap.gateway.callers.CallerRequest;
import io.flamingogap.gateway.callers.CallerRequests;
import io.flamingogap.gateway.callers.OpenRequest;
import io.flamingogap.gateway.log.LogLine;

/**
 * Takes callers' requests: finds the route and the account, keeps quotas and bounds, and
 * relays what is admitted.
 */
public final class RequestRelay implements CallerRequests {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** A caller that states no budget waits as long as the route allows. */
	private static final long NO_BUDGET = Long.MAX_VALUE / 4;

	/** When a caller may come back that found no configuration or no room. */
	private static final long RETRY_AFTER_MILLIS = 300;

	/**
	 * The part of the shared retry allowance that nodes use, to allow for nodes that
	 * start.
	 */
	private static final double ALLOWANCE_PART = 0.6;

	private static final double PERCENT = 100;

	private static final OpenRequest CLOSED = new OpenRequest() {
		@Override
		public void callerLeft() {
		}

		@Override
		public void callerReads() {
		}
	};

	private final RelayDependencies parts;

	private final RelayLimits bounds;

	private final StartListener starts;

	private final Map<String, WindowedRetryBudget> retries = new HashMap<>();

	private AdmissionState admission = AdmissionState.OPEN;

	/**
	 * Create a relay.
	 * @param parts what it works with
	 * @param bounds its bounds
	 * @param starts hears of requests that servers began
	 */
	public RequestRelay(RelayDependencies parts, RelayLimits bounds, StartListener starts) {
		this.parts = parts;
		this.bounds = bounds;
		this.starts = starts;
	}

	/**
	 * Change how new requests are taken.
	 * @param state the state
	 */
	public void setAdmissionState(AdmissionState state) {
		this.admission = state;
	}

	@Override
	public boolean keepsConnections() {
		return this.admission == AdmissionState.OPEN;
	}

	@Override
	public OpenRequest accept(CallerRequest request, CallerExchange exchange) {
		Optional<ServingConfig> config = this.parts.config().current();
		if (config.isEmpty()) {
			return refuse(request, exchange, notNow("no configuration is known"), RETRY_AFTER_MILLIS);
		}
		if (this.admission == AdmissionState.CLOSED) {
			return refuse(request, exchange, notNow("the node is stopping"), 0);
		}
		Optional<RouteRule> route = config.get().findRoute(request.host(), request.path());
		if (route.isEmpty()) {
			return refuse(request, exchange, Failure.notRun(ProblemType.NOT_FOUND, Step.PARSE, "caller",
					"no route in version " + config.get().version()), -1);
		}
		return authenticate(request, exchange, config.get(), route.get());
	}

	private OpenRequest authenticate(CallerRequest request, CallerExchange exchange, ServingConfig config,
			RouteRule route) {
		Optional<ClientAccount> account = Optional.empty();
		if (config.requiresKeys() && !route.isPublic()) {
			account = request.key().flatMap(config::findAccount);
			if (account.isEmpty()) {
				return refuse(request, exchange, Failure.notRun(ProblemType.UNAUTHENTICATED, Step.AUTHENTICATE,
						"caller", "the key isn't in version " + config.version()), -1);
			}
		}
		return admit(request, exchange, route, account);
	}

	private OpenRequest admit(CallerRequest request, CallerExchange exchange, RouteRule route,
			Optional<ClientAccount> account) {
		long bytes = request.body().readableBytes();
		if (this.parts.metrics().bufferedBytes() + bytes > this.bounds.maxBufferedBytes()) {
			return refuse(request, exchange, notNow("the node holds too many bytes"), RETRY_AFTER_MILLIS);
		}
		long cost = costOf(request, account);
		if (account.isEmpty()) {
			return relay(request, exchange, route, account, cost);
		}
		QuotaDecision verdict = spend(account.get(), cost);
		if (verdict.isAdmitted()) {
			return relay(request, exchange, route, account, cost);
		}
		PendingAdmission pending = new PendingAdmission(() -> request.body().release());
		boolean asked = this.parts.lender()
			.borrow(account.get(), verdict.missingUnits(),
					() -> pending.resume(() -> admitOrRefuse(request, exchange, route, account.get(), cost)));
		return asked ? pending : refuse(request, exchange, usedUp(account.get(), verdict), verdict.waitMillis());
	}

	private static long costOf(CallerRequest request, Optional<ClientAccount> account) {
		return account.map((found) -> found.quota().cost(request.statedTokens())).orElse(0L);
	}

	private QuotaDecision spend(ClientAccount account, long cost) {
		return this.parts.quotas().admit(account, cost, this.parts.fleet(), this.parts.clock().steadyMillis());
	}

	private OpenRequest admitOrRefuse(CallerRequest request, CallerExchange exchange, RouteRule route,
			ClientAccount account, long cost) {
		QuotaDecision verdict = this.parts.quotas()
			.retryAdmission(account, cost, this.parts.fleet(), this.parts.clock().steadyMillis());
		return verdict.isAdmitted() ? relay(request, exchange, route, Optional.of(account), cost)
				: refuse(request, exchange, usedUp(account, verdict), verdict.waitMillis());
	}

	private OpenRequest relay(CallerRequest request, CallerExchange exchange, RouteRule route,
			Optional<ClientAccount> account, long cost) {
		long nowMillis = this.parts.clock().steadyMillis();
		Attempt attempt = new Attempt(route, request.budgetMillis().orElse(NO_BUDGET), nowMillis);
		String service = route.chooseService(this.parts.random().nextDouble());
		WindowedRetryBudget window = this.retries.computeIfAbsent(service,
				(name) -> new WindowedRetryBudget(this.bounds.retryShare(), this.bounds.retryWindowMillis()));
		window.recordRequest(nowMillis);
		RelayedRequest relayed = new RelayedRequest(this.parts, request, exchange, attempt, service, account,
				new RelayedRequest.Hooks(() -> mayRetry(window), () -> refund(account, cost), this.starts));
		relayed.start();
		return relayed;
	}

	private static Failure usedUp(ClientAccount account, QuotaDecision verdict) {
		String detail = String.format(Locale.ROOT, "quota of %s: %.0f units left, %.0f a second, %.1f %% of the quota",
				account.name(), verdict.availableUnits(), verdict.ratePerSecond(), PERCENT * verdict.share());
		return Failure.notRun(ProblemType.TOO_MANY_REQUESTS, Step.ADMIT, "caller", detail);
	}

	private boolean mayRetry(WindowedRetryBudget window) {
		double allowance = this.bounds.retryAllowance() * ALLOWANCE_PART / this.parts.fleet().nodes();
		return window.trySpend(allowance, this.parts.clock().steadyMillis());
	}

	private void refund(Optional<ClientAccount> account, long cost) {
		account.ifPresent((found) -> this.parts.quotas().refund(found, cost));
	}

	private static Failure notNow(String detail) {
		return Failure.notRun(ProblemType.OVERLOADED, Step.ADMIT, "caller", detail);
	}

	private OpenRequest refuse(CallerRequest request, CallerExchange exchange, Failure failure, long retryAfterMillis) {
		request.body().release();
		this.parts.metrics().count("refused." + failure.type().status());
		long configVersion = this.parts.config().current().map(ServingConfig::version).orElse(-1L);
		logger.atInfo()
			.log("%s", LogLine.of("request refused")
				.with("request", request.attemptId())
				.with("status", failure.type().status())
				.with("step", failure.step().name())
				.with("reason", failure.detail())
				.with("configVersion", configVersion)
				.with("configAgeMillis",
						(configVersion >= 0) ? this.parts.config().ageMillis(this.parts.clock().steadyMillis()) : -1));
		exchange.fail(failure, retryAfterMillis);
		return CLOSED;
	}

	/**
	 * How new requests are taken.
	 */
	public enum AdmissionState {

		/** All are taken and connections are kept. */
		OPEN,

		/** All are taken, and connections end after the answer. */
		DRAINING,

		/** None is taken any more. */
		CLOSED

	}

	/**
	 * Hears of requests that backend servers began.
	 */
	public interface StartListener {

		/**
		 * A backend server began a request.
		 * @param account the client account, if the route needs one
		 * @param agoMillis how long ago it began
		 */
		void onStarted(Optional<ClientAccount> account, long agoMillis);

	}

}
