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
 * Serves {@code GET /v1/requests/KEY}: what is known of a keyed request.
 */
public final class KeyStatusHandler {

	static final String PREFIX = "/v1/requests/";

	private final KeyedRequests keyedRequests;

	private final Membership membership;

	private final NodeClients nodeClients;

	private final RequestTransitionLog records;

	/**
	 * Create a handler.
	 * @param keyedRequests the requests of this node
	 * @param membership the membership table
	 * @param nodeClients calls other nodes
	 * @param records what the platform log holds
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
		Exchanges.sendJson(exchange, 200, status(key.get(), request.account().name()));
	}

	private KeyReport status(RequestKey key, String account) {
		Optional<LedgerEntry> own = this.keyedRequests.find(key, account);
		if (own.isPresent() && own.get().state().isTerminal()) {
			return KeyReport.of(key, own.get().state().name(), this.membership.localMember().node());
		}
		NodeId owner = this.membership.ownerOf(key.issuer());
		if (owner.equals(this.membership.localMember().node())) {
			return KeyReport.of(key, own.map((entry) -> entry.state().name()).orElse(KeyReport.ABSENT), owner);
		}
		return this.membership.find(owner)
			.map((member) -> ask(member, key, account))
			.orElseGet(() -> recorded(key, account, owner));
	}

	/**
	 * Tell what the log holds when the owner can't be asked. Only an outcome is certain.
	 * @param key the key
	 * @param account the account that asks
	 * @param owner the owner
	 * @return the recorded outcome, or "unknown"
	 */
	private KeyReport recorded(RequestKey key, String account, NodeId owner) {
		return this.records.find(key.toString(), account)
			.filter((transition) -> transition.status() > 0)
			.map((transition) -> KeyReport.of(key, transition.state(), owner))
			.orElseGet(() -> KeyReport.unknown(key, owner));
	}

	private KeyReport ask(Member owner, RequestKey key, String account) {
		return this.nodeClients.keyStatus(owner, key, account)
			.fold((failure) -> recorded(key, account, owner.node()),
					(status) -> KeyReport.of(key, status.state(), owner.node()));
	}

}
