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
 * Serves the requests of authenticated operators: status, changes, audit trail, rollouts
 * and drains.
 */
public final class OperatorApi {

	private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9-]{8,64}");

	private static final int MAX_AUDIT_ENTRIES = 1_000;

	/** Limit for the body of a change; JSON escapes at most double the manifest. */
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
	 * @param follower reads the configuration stream; reports whether the log is
	 * reachable
	 * @param publisher publishes configuration changes
	 * @param membership the membership table
	 * @param requests the keyed requests of this node
	 * @param rollouts the rollouts under way
	 * @param audit records the actions of operators
	 * @param log the platform log, from which the audit trail is read
	 * @param drain starts a planned stop of this node
	 * @param clock the clock for audit entries and take-backs
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

	void sendAuditTrail(HttpExchange exchange) throws IOException {
		Either<Failure, PlatformLogClient.LogPage> page = this.log.read(PlatformLogClient.AUDIT_STREAM, 1, 1, 0)
			.map((firstPage) -> Math.max(1, firstPage.headOffset() - MAX_AUDIT_ENTRIES + 1))
			.flatMap((fromOffset) -> this.log.read(PlatformLogClient.AUDIT_STREAM, fromOffset, MAX_AUDIT_ENTRIES, 0));
		if (page.isLeft()) {
			Exchanges.sendProblem(exchange, page.getLeft());
			return;
		}
		String entries = String.join(",", page.get().records().stream().map(LogRecord::body).toList());
		Exchanges.send(exchange, 200, Exchanges.JSON, ("[" + entries + "]").getBytes(StandardCharsets.UTF_8));
	}

	void sendRequestState(HttpExchange exchange, String resource) throws IOException {
		String keyText = resource.substring(resource.indexOf('/') + 1);
		Either<Failure, RequestKey> key = RequestKey.parse(keyText);
		if (key.isLeft()) {
			Exchanges.sendProblem(exchange, key.getLeft());
			return;
		}
		String state = this.requests.withLedger((ledger) -> ledger.find(key.get()))
			.map((entry) -> entry.state().name())
			.orElse("ABSENT");
		String owner = this.membership.ownerOf(key.get().issuer()).toString();
		Exchanges.sendJson(exchange, 200, new RequestReport(keyText, state, owner));
	}

	void publish(HttpExchange exchange, String operator) throws IOException {
		Either<Failure, ConfigRecord> change = Exchanges.readBody(exchange, MAX_CHANGE_BYTES)
			.flatMap(Exchanges::parseObject)
			.flatMap((document) -> parseChange(document, operator));
		if (change.isLeft()) {
			Exchanges.sendProblem(exchange, change.getLeft());
			return;
		}
		Either<Failure, ConfigVerdict> published = this.publisher.publish(change.get());
		if (published.isLeft()) {
			Exchanges.sendProblem(exchange, published.getLeft());
			return;
		}
		ConfigVerdict verdict = published.get();
		this.audit.record(new AuditEntry(this.clock.millis(), this.membership.localMember().node().name(), operator,
				verdict.accepted() ? "change accepted" : "change refused", verdict.id(), verdict.reason(),
				verdict.offset()));
		if (verdict.accepted()) {
			Exchanges.sendJson(exchange, 200, verdict);
		}
		else {
			Exchanges.sendProblem(exchange,
					Failure.notRun(ProblemType.CONFLICT, Step.APPEND, "operator " + operator, verdict.reason()));
		}
	}

	private static Either<Failure, ConfigRecord> parseChange(ObjectNode document, String operator) {
		String changeId = document.path("id").asText();
		String manifest = document.path("manifest").asText();
		long baseOffset = document.path("baseOffset").asLong(-1);
		if (!CHANGE_ID.matcher(changeId).matches() || baseOffset < 0) {
			return Either.left(Exchanges.malformed("id must match " + CHANGE_ID + " and baseOffset must be a number"));
		}
		Optional<List<ValidationError>> errors = Optional.ofNullable(validationErrors(manifest));
		if (errors.isPresent()) {
			return Either.left(Failure.notRun(ProblemType.INVALID, Step.PARSE, "operator",
					String.join("; ", errors.get().stream().map(ValidationError::toString).toList())));
		}
		return Either.right(new ConfigRecord(changeId, baseOffset, operator, Digests.sha256(manifest), manifest));
	}

	private static @Nullable List<ValidationError> validationErrors(String manifest) {
		return ManifestReader.read(manifest).fold((errors) -> errors, (valid) -> null);
	}

	void drain(HttpExchange exchange, String operator) throws IOException {
		this.drain.begin(operator, "asked by operator " + operator);
		Exchanges.sendJson(exchange, 202, status());
	}

	List<Rollouts.RolloutReport> rollouts() {
		return this.rollouts.reports();
	}

	/**
	 * Take back the rollout named by a path {@code rollouts/SERVICE/take-back} and send
	 * the reports of all rollouts.
	 * @param exchange the exchange to answer
	 * @param operator the name of the operator
	 * @param resource the path after {@link OperatorHandler#PREFIX}
	 * @throws IOException if the response can't be sent
	 */
	void takeBack(HttpExchange exchange, String operator, String resource) throws IOException {
		String[] parts = resource.split("/");
		Optional<RolloutKey> rollout = (parts.length == 3 && "take-back".equals(parts[2]))
				? this.rollouts.findKey(parts[1]) : Optional.empty();
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
	 * Starts a planned stop of this node.
	 */
	@FunctionalInterface
	public interface Drain {

		/**
		 * Start a planned stop and return at once.
		 * @param who the name of the operator
		 * @param cause the reason, for the audit trail
		 */
		void begin(String who, String cause);

	}

	/**
	 * Status of this node.
	 *
	 * @param node the node and its incarnation
	 * @param zone the name of its availability zone
	 * @param state the lifecycle state that it last announced
	 * @param configOffset the offset of the manifest in force; 0 if there is none
	 * @param configHead the offset of the last configuration record that was applied or
	 * skipped; 0 before the first record
	 * @param logReachable whether the platform log answered the last read
	 * @param openRequests the number of keyed requests that have not ended
	 * @param keptKeys the number of keys in the ledger
	 * @param keptBytes the total size of the stored request and answer bodies in bytes
	 */
	record StatusReport(String node, String zone, String state, long configOffset, long configHead,
			boolean logReachable, int openRequests, int keptKeys, long keptBytes) {
	}

	/**
	 * Row of the membership table.
	 *
	 * @param node the node and its incarnation
	 * @param zone the name of its availability zone
	 * @param state the lifecycle state that it last announced
	 * @param reachable whether other nodes can connect to it
	 * @param callerAddress the address at which callers and operators connect
	 * @param successor the node that took over its keys; empty if none has
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
	 * @param offset the offset in the configuration stream; 0 if there is no manifest
	 * @param manifest the manifest as a TOML document; empty if there is none
	 */
	record ManifestReport(long offset, String manifest) {
	}

	/**
	 * State of a keyed request in the ledger of this node.
	 *
	 * @param key the idempotency key
	 * @param state the name of the state; {@code ABSENT} if the ledger has no entry
	 * @param owner the node that owns the key, as far as this node knows
	 */
	record RequestReport(String key, String state, String owner) {
	}

}
