package io.flamingogap.daemon.callers;

import java.io.IOException;
import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.entry.EntryNodeSelector;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.limits.ConcurrencyLimiter;
import io.flamingogap.core.manifest.Account;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.http.HttpListener;
import io.flamingogap.daemon.nodes.Membership;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.requests.ServicePath;
import io.flamingogap.daemon.settings.Settings;

/**
 * Handles all requests of callers: authenticates the caller, enforces the limits on open
 * requests and selects the handler by path.
 */
public final class CallerHandler implements HttpListener.Handler {

	private final Authenticator authenticator;

	private final Membership membership;

	private final CompletionsHandler completions;

	private final PlainServiceHandler plainServices;

	private final KeyStatusHandler keyStatus;

	private final ConcurrencyLimiter limiter;

	private final Settings.Callers settings;

	private final Clock clock;

	private final AtomicLong nextEntryCallNumber;

	/**
	 * Create a handler.
	 * @param configuration the configuration in force
	 * @param membership the membership table, which entry answers are made from
	 * @param completions the handler for model services
	 * @param plainServices the handler for plain services
	 * @param keyStatus the handler for the status of keyed requests
	 * @param settings the limits for callers
	 * @param clock provides the current time
	 */
	public CallerHandler(Configuration configuration, Membership membership, CompletionsHandler completions,
			PlainServiceHandler plainServices, KeyStatusHandler keyStatus, Settings.Callers settings, Clock clock) {
		this.authenticator = new Authenticator(configuration::manifest);
		this.membership = membership;
		this.completions = completions;
		this.plainServices = plainServices;
		this.keyStatus = keyStatus;
		this.limiter = new ConcurrencyLimiter(settings.maxOpenRequests());
		this.settings = settings;
		this.clock = clock;
		this.nextEntryCallNumber = new AtomicLong(membership.localMember().node().incarnation() >>> 1);
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		Either<Failure, Account> account = this.authenticator.authenticate(exchange);
		if (account.isLeft()) {
			Exchanges.sendProblem(exchange, account.getLeft());
			return;
		}
		Optional<Failure> refusal = acquireOrRefuse(account.get());
		if (refusal.isPresent()) {
			Exchanges.sendProblem(exchange, refusal.get());
			return;
		}
		try {
			handleAuthenticated(exchange, account.get());
		}
		finally {
			release(account.get());
		}
	}

	private Optional<Failure> acquireOrRefuse(Account account) {
		synchronized (this.limiter) {
			return this.limiter.acquireOrRefuse(account);
		}
	}

	private void release(Account account) {
		synchronized (this.limiter) {
			this.limiter.release(account);
		}
	}

	/**
	 * Return the number of open requests of all callers.
	 * @return the number, at least 0
	 */
	public int openRequests() {
		synchronized (this.limiter) {
			return this.limiter.openRequests();
		}
	}

	private void handleAuthenticated(HttpExchange exchange, Account account) throws IOException {
		String path = exchange.getRequestURI().getPath();
		Either<Failure, CallerRequest> request = CallerRequest.read(exchange, account, this.settings,
				this.clock.millis());
		if (request.isLeft()) {
			Exchanges.sendProblem(exchange, request.getLeft());
		}
		else if ("/v1/entry".equals(path)) {
			sendEntryAnswer(exchange);
		}
		else if (CompletionsHandler.serves(path)) {
			this.completions.handle(exchange, request.get());
		}
		else if (path.startsWith(ServicePath.PREFIX)) {
			this.plainServices.handle(exchange, request.get());
		}
		else if (path.startsWith(KeyStatusHandler.PREFIX)) {
			this.keyStatus.handle(exchange, request.get());
		}
		else {
			Exchanges.sendProblem(exchange,
					Failure.notRun(ProblemType.NOT_FOUND, Step.PARSE, "caller", "nothing is served under " + path));
		}
	}

	private void sendEntryAnswer(HttpExchange exchange) throws IOException {
		Exchanges.sendJson(exchange, 200,
				EntryAnswer.of(EntryNodeSelector.choose(this.membership.members(),
						this.nextEntryCallNumber.getAndIncrement(), this.settings.entryCount(), this.clock.millis()),
						this.settings.entryTtlMillis()));
	}

}
