package io.flamingogap.daemon.operators;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.config.ConfigRecord;
import io.flamingogap.core.config.ConfigState;
import io.flamingogap.core.config.ConfigVerdict;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.ManifestReader;
import io.flamingogap.core.membership.Member;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.core.request.RequestLedger;
import io.flamingogap.core.rollout.RolloutKey;
import io.flamingogap.core.rollout.TakeBack;
import io.flamingogap.core.text.Digests;
import io.flamingogap.core.toml.ValidationError;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.nodes.Membership;
import io.flamingogap.daemon.platformlog.AuditEntry;
import io.flamingogap.daemon.platformlog.AuditTrail;
import io.flamingogap.daemon.platformlog.ConfigFollower;
import io.flamingogap.daemon.platformlog.ConfigPublisher;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.platformlog.PlatformLogClient;
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogRecord;
import io.flamingogap.daemon.requests.KeyedRequests;
import io.flamingogap.daemon.rollouts.Rollouts;

/**
 * What operators may ask of a node.
 */
public final class OperatorApi {

	private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9-]{8,64}");

	private static final int AUDIT_PAGE = 1_000;

	/** JSON escapes at most double the size of a manifest. */
	private static final int MAX_CHANGE_BYTES = 2 * ManifestReader.MAX_BYTES + 4_096;

	private final Configuration configuration;

	private final ConfigFollower follower;

	private final ConfigPublisher publisher;

	private final Membership membership;

	private final KeyedRequests requests;

	private final Rollouts rollouts;

	private final AuditTrail audit;

	private final PlatformLogClient log;

	private final Drain drain;

	private final Clock clock;

	/**
	 * Create the API.
	 * @param configuration the configuration in force
	 * @param follower follows the configuration stream
	 * @param publisher publishes changes
	 * @param membership the membership table
	 * @param requests the keyed requests of this node
	 * @param rollouts the rollouts under way
	 * @param audit the audit trail
	 * @param log the platform log
	 * @param drain begins a planned stop of this node
	 * @param clock tells the present time
	 */
	public OperatorApi(Configuration configuration, ConfigFollower follower, ConfigPublisher publisher,
			Membership membership, KeyedRequests requests, Rollouts rollouts, AuditTrail audit, PlatformLogClient log,
			Drain drain, Clock clock) {
		this.configuration = configuration;
		this.follower = follower;
		this.publisher = publisher;
		this.membership = membership;
		this.requests = requests;
		this.rollouts = rollouts;
		this.audit = audit;
		this.log = log;
		this.drain = drain;
		this.clock = clock;
	}

	StatusReport status() {
		ConfigState state = this.configuration.state();
		Member own = this.membership.localMember();
		return new StatusReport(own.node().toString(), own.zone(), own.state().name(), state.acceptedOffset(),
				state.headOffset(), this.follower.isLogReachable(),
				this.requests.withLedger(RequestLedger::openRequests), this.requests.withLedger(RequestLedger::size),
				this.requests.withLedger(RequestLedger::keptBytes));
	}

	List<NodeReport> nodes() {
		return this.membership.members().stream().map(NodeReport::of).toList();
	}

	ManifestReport manifest() {
		ConfigState state = this.configuration.state();
		return new ManifestReport(state.acceptedOffset(), state.manifestText());
	}

	void audit(HttpExchange exchange) throws IOException {
		Either<Failure, PlatformLogClient.LogPage> page = this.log.read(PlatformLogClient.AUDIT_STREAM, 1, 1, 0)
			.map((first) -> Math.max(1, first.headOffset() - AUDIT_PAGE + 1))
			.flatMap((from) -> this.log.read(PlatformLogClient.AUDIT_STREAM, from, AUDIT_PAGE, 0));
		if (page.isLeft()) {
			Exchanges.sendProblem(exchange, page.getLeft());
			return;
		}
		String entries = String.join(",", page.get().records().stream().map(LogRecord::body).toList());
		Exchanges.send(exchange, 200, Exchanges.JSON, ("[" + entries + "]").getBytes(StandardCharsets.UTF_8));
	}

	void request(HttpExchange exchange, String resource) throws IOException {
		String text = resource.substring(resource.indexOf('/') + 1);
		Either<Failure, RequestKey> key = RequestKey.parse(text);
		if (key.isLeft()) {
			Exchanges.sendProblem(exchange, key.getLeft());
			return;
		}
		String state = this.requests.withLedger((ledger) -> ledger.find(key.get()))
			.map((entry) -> entry.state().name())
			.orElse("ABSENT");
		String owner = this.membership.ownerOf(key.get().issuer()).toString();
		Exchanges.sendJson(exchange, 200, new RequestReport(text, state, owner));
	}

	void publish(HttpExchange exchange, String operator) throws IOException {
		Either<Failure, ConfigRecord> change = Exchanges.readBody(exchange, MAX_CHANGE_BYTES)
			.flatMap(Exchanges::parseObject)
			.flatMap((document) -> change(document, operator));
		if (change.isLeft()) {
			Exchanges.sendProblem(exchange, change.getLeft());
			return;
		}
		Either<Failure, ConfigVerdict> verdict = this.publisher.publish(change.get());
		if (verdict.isLeft()) {
			Exchanges.sendProblem(exchange, verdict.getLeft());
			return;
		}
		ConfigVerdict decided = verdict.get();
		this.audit.record(new AuditEntry(this.clock.millis(), this.membership.localMember().node().name(), operator,
				decided.accepted() ? "change accepted" : "change refused", decided.id(), decided.reason(),
				decided.offset()));
		if (decided.accepted()) {
			Exchanges.sendJson(exchange, 200, decided);
		}
		else {
			Exchanges.sendProblem(exchange,
					Failure.notRun(ProblemType.CONFLICT, Step.APPEND, "operator " + operator, decided.reason()));
		}
	}

	private static Either<Failure, ConfigRecord> change(ObjectNode document, String operator) {
		String id = document.path("id").asText();
		String manifest = document.path("manifest").asText();
		long base = document.path("baseOffset").asLong(-1);
		if (!CHANGE_ID.matcher(id).matches() || base < 0) {
			return Either.left(Exchanges.malformed("id must match " + CHANGE_ID + " and baseOffset must be a number"));
		}
		Optional<List<ValidationError>> faults = Optional.ofNullable(faultsOf(manifest));
		if (faults.isPresent()) {
			return Either.left(Failure.notRun(ProblemType.INVALID, Step.PARSE, "operator",
					String.join("; ", faults.get().stream().map(ValidationError::toString).toList())));
		}
		return Either.right(new ConfigRecord(id, base, operator, Digests.sha256(manifest), manifest));
	}

	private static @Nullable List<ValidationError> faultsOf(String manifest) {
		return ManifestReader.read(manifest).fold((faults) -> faults, (read) -> null);
	}

	void drain(HttpExchange exchange, String operator) throws IOException {
		this.drain.begin(operator, "asked by operator " + operator);
		Exchanges.sendJson(exchange, 202, status());
	}

	List<Rollouts.RolloutReport> rollouts() {
		return this.rollouts.reports();
	}

	/**
	 * Take back the rollout named by a path {@code rollouts/SERVICE/take-back}.
	 * @param exchange the exchange
	 * @param operator the operator
	 * @param resource the path
	 * @throws IOException if the connection breaks
	 */
	void takeBack(HttpExchange exchange, String operator, String resource) throws IOException {
		String[] parts = resource.split("/");
		Optional<RolloutKey> rollout = (parts.length == 3 && "take-back".equals(parts[2]))
				? this.rollouts.find(parts[1]) : Optional.empty();
		if (rollout.isEmpty()) {
			Exchanges.sendProblem(exchange,
					Failure.notRun(ProblemType.NOT_FOUND, Step.PARSE, "operator", "no rollout under " + resource));
			return;
		}
		String by = operator + "@" + this.membership.localMember().node();
		this.rollouts.takeBack(new TakeBack(rollout.get(), by, "asked by operator " + operator, this.clock.millis()));
		Exchanges.sendJson(exchange, 200, this.rollouts.reports());
	}

	/**
	 * Begins a planned stop.
	 */
	@FunctionalInterface
	public interface Drain {

		/**
		 * Begin a planned stop.
		 * @param who the operator
		 * @param cause why
		 */
		void begin(String who, String cause);

	}

	/**
	 * The status of a node.
	 *
	 * @param node the node run
	 * @param zone its availability zone
	 * @param state what it says of its life
	 * @param configOffset the offset of the manifest in force
	 * @param configHead the offset of the last record looked at
	 * @param logReachable whether the last read of the log was answered
	 * @param openRequests the keyed requests without an outcome
	 * @param keptKeys the keys in the ledger
	 * @param keptBytes the bytes of kept requests and answers
	 */
	record StatusReport(String node, String zone, String state, long configOffset, long configHead,
			boolean logReachable, int openRequests, int keptKeys, long keptBytes) {
	}

	/**
	 * A row of the membership table.
	 *
	 * @param node the node run
	 * @param zone its availability zone
	 * @param state what it says of its life
	 * @param reachable whether its neighbours hear it
	 * @param callerAddress where callers and operators connect
	 * @param successor the node that its keys passed to; empty if none
	 */
	record NodeReport(String node, String zone, String state, boolean reachable, String callerAddress,
			String successor) {

		static NodeReport of(Member member) {
			return new NodeReport(member.node().toString(), member.zone(), member.state().name(), member.isReachable(),
					member.callerAddress().toString(),
					Optional.ofNullable(member.successor()).map(Object::toString).orElse(""));
		}

	}

	/**
	 * The manifest in force.
	 *
	 * @param offset its offset in the configuration stream
	 * @param manifest the TOML document
	 */
	record ManifestReport(long offset, String manifest) {
	}

	/**
	 * The state of a keyed request at this node.
	 *
	 * @param key the key
	 * @param state its state, or ABSENT
	 * @param owner the node that owns the key
	 */
	record RequestReport(String key, String state, String owner) {
	}

}
