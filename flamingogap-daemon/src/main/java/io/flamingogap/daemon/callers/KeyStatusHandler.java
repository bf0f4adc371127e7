package io.flamingogap.daemon.callers;

import java.io.IOException;
import java.util.Optional;

import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.membership.Member;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.LedgerEntry;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.nodes.Membership;
import io.flamingogap.daemon.nodes.NodeClients;
import io.flamingogap.daemon.platformlog.RequestTransitionLog;
import io.flamingogap.daemon.requests.KeyedRequests;

/**
 * Handles {@code GET /v1/requests/KEY}, which returns the state of a keyed request.
 */
public final class KeyStatusHandler {

	static final String PREFIX = "/v1/requests/";

	private final KeyedRequests keyedRequests;

	private final Membership membership;

	private final NodeClients nodeClients;

	private final RequestTransitionLog records;

	/**
	 * Create a handler.
	 * @param keyedRequests the keyed requests of this node
	 * @param membership the membership table, which determines the owner of a key
	 * @param nodeClients the clients for other nodes
	 * @param records the outcomes that nodes recorded in the platform log
	 */
	public KeyStatusHandler(KeyedRequests keyedRequests, Membership membership, NodeClients nodeClients,
			RequestTransitionLog records) {
		this.keyedRequests = keyedRequests;
		this.membership = membership;
		this.nodeClients = nodeClients;
		this.records = records;
	}

	void handle(HttpExchange exchange, CallerRequest request) throws IOException {
		String text = exchange.getRequestURI().getPath().substring(PREFIX.length());
		Either<Failure, RequestKey> key = RequestKey.parse(text);
		if (key.isLeft()) {
			Exchanges.sendProblem(exchange, key.getLeft());
			return;
		}
		Exchanges.sendJson(exchange, 200, findStatus(key.get(), request.account().name()));
	}

	private KeyReport findStatus(RequestKey key, String account) {
		Optional<LedgerEntry> own = this.keyedRequests.find(key, account);
		if (own.isPresent() && own.get().state().isTerminal()) {
			return KeyReport.of(key, own.get().state().name(), this.membership.localMember().node());
		}
		NodeId owner = this.membership.ownerOf(key.issuer());
		if (owner.equals(this.membership.localMember().node())) {
			return KeyReport.of(key, own.map((entry) -> entry.state().name()).orElse(KeyReport.ABSENT), owner);
		}
		return this.membership.find(owner)
			.map((member) -> reportFromOwner(member, key, account))
			.orElseGet(() -> reportFromLog(key, account, owner));
	}

	/**
	 * Report the outcome from the platform log if the owner is unreachable. Recorded
	 * states without an outcome may be out of date and are reported as unknown.
	 * @param key the idempotency key
	 * @param account the account of the caller
	 * @param owner the node that owns the key
	 * @return a report with the recorded outcome, or with the state {@code unknown}
	 */
	private KeyReport reportFromLog(RequestKey key, String account, NodeId owner) {
		return this.records.find(key.toString(), account)
			.filter((transition) -> transition.status() > 0)
			.map((transition) -> KeyReport.of(key, transition.state(), owner))
			.orElseGet(() -> KeyReport.unknown(key, owner));
	}

	private KeyReport reportFromOwner(Member owner, RequestKey key, String account) {
		return this.nodeClients.keyStatus(owner, key, account)
			.fold((failure) -> reportFromLog(key, account, owner.node()),
					(status) -> KeyReport.of(key, status.state(), owner.node()));
	}

}
