package io.flamingogap.daemon.nodes;

import java.util.List;
import java.util.Optional;

import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.CommitResult;
import io.flamingogap.core.request.KeySpacePart;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.LedgerEntry;
import io.flamingogap.core.request.RequestKey;

/**
 * Handler of calls from other entry nodes that concern keyed requests.
 */
public interface PeerRequestHandler {

	/**
	 * Answer a request that a caller sent to another node and that node forwarded.
	 * @param request the forwarded request
	 * @return the answer, which may be a problem document
	 */
	Answer answerForwarded(KeyedRequest request);

	/**
	 * Find the ledger entry of a key at this node.
	 * @param key the idempotency key
	 * @param account the account of the caller
	 * @return the entry; empty if this node holds none for the account
	 */
	Optional<LedgerEntry> find(RequestKey key, String account);

	/**
	 * Keep offered requests until they are committed.
	 * @param parts the offered parts of the key space
	 */
	void receiveOffer(List<KeySpacePart> parts);

	/**
	 * Take over requests from another node.
	 * @param parts the committed parts of the key space
	 * @return whether this node took the requests over
	 */
	CommitResult receiveCommit(List<KeySpacePart> parts);

	/**
	 * Record the outcomes of calls that were in flight when their requests were committed
	 * to this node.
	 * @param parts the changed entries
	 */
	void receiveOutcomes(List<KeySpacePart> parts);

}
