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
 * Answers callers: finds their account, opens their request within the limits and hands
 * it to what serves its path.
 */
public final class CallerHandler implements HttpListener.Handler {

	private final Authenticator authenticator;

	private final Membership membership;

	private final CompletionsHandler completions;

	private final PlainServiceHandler plainServices;

	private final KeyStatusHandler keyStatus;

	private final ConcurrencyLimiter openRequests;

	private final Settings.Callers settings;

	private final Clock clock;

	private final AtomicLong tickets;

	/**
	 * Create a handler.
	 * @param configuration the configuration in force
	 * @param membership the membership table
	 * @param completions serves models
	 * @param plainServices serves plain services
	 * @param keyStatus serves the status of keys
	 * @param settings what callers are allowed
	 * @param clock tells the present time
	 */
	public CallerHandler(Configuration configuration, Membership membership, CompletionsHandler completions,
			PlainServiceHandler plainServices, KeyStatusHandler keyStatus, Settings.Callers settings, Clock clock) {
		this.authenticator = new Authenticator(configuration::manifest);
		this.membership = membership;
		this.completions = completions;
		this.plainServices = plainServices;
		this.keyStatus = keyStatus;
		this.openRequests = new ConcurrencyLimiter(settings.maxOpenRequests());
		this.settings = settings;
		this.clock = clock;
		this.tickets = new AtomicLong(membership.localMember().node().incarnation() >>> 1);
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		Either<Failure, Account> account = this.authenticator.account(exchange);
		if (account.isLeft()) {
			Exchanges.sendProblem(exchange, account.getLeft());
			return;
		}
		Optional<Failure> refusal = open(account.get());
		if (refusal.isPresent()) {
			Exchanges.sendProblem(exchange, refusal.get());
			return;
		}
		try {
			serve(exchange, account.get());
		}
		finally {
			close(account.get());
		}
	}

	private Optional<Failure> open(Account account) {
		synchronized (this.openRequests) {
			return this.openRequests.acquireOrRefuse(account);
		}
	}

	private void close(Account account) {
		synchronized (this.openRequests) {
			this.openRequests.release(account);
		}
	}

	/**
	 * Return the number of requests that callers have open.
	 * @return the number
	 */
	public int openRequests() {
		synchronized (this.openRequests) {
			return this.openRequests.openRequests();
		}
	}

	private void serve(HttpExchange exchange, Account account) throws IOException {
		String path = exchange.getRequestURI().getPath();
		Either<Failure, CallerRequest> request = CallerRequest.read(exchange, account, this.settings,
				this.clock.millis());
		if (request.isLeft()) {
			Exchanges.sendProblem(exchange, request.getLeft());
		}
		else if ("/v1/entry".equals(path)) {
			sendEntry(exchange);
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

	private void sendEntry(HttpExchange exchange) throws IOException {
		Exchanges.sendJson(exchange, 200,
				EntryAnswer.of(EntryNodeSelector.choose(this.membership.members(), this.tickets.getAndIncrement(),
						this.settings.entryCount(), this.clock.millis()), this.settings.entryTtlMillis()));
	}

}
