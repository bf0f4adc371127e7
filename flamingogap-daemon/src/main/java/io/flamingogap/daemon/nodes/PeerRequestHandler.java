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
 * What other entry nodes may ask of this node's keyed requests.
 */
public interface PeerRequestHandler {

	/**
	 * Answer a request that a caller sent to another node.
	 * @param request the request
	 * @return the answer, which may be a problem document
	 */
	Answer answerForwarded(KeyedRequest request);

	/**
	 * Find a key in this node's ledger.
	 * @param key the key
	 * @param account the account that asks
	 * @return the entry, if this node holds one for the account
	 */
	Optional<LedgerEntry> find(RequestKey key, String account);

	/**
	 * Hold an offer.
	 * @param parts the offered parts
	 */
	void receiveOffer(List<KeySpacePart> parts);

	/**
	 * Take requests over.
	 * @param parts the committed parts
	 * @return what this node did
	 */
	CommitResult receiveCommit(List<KeySpacePart> parts);

	/**
	 * Learn outcomes of calls that were in flight at a commit.
	 * @param parts the changed entries
	 */
	void receiveOutcomes(List<KeySpacePart> parts);

}
