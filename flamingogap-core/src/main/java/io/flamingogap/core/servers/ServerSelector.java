package io.flamingogap.core.servers;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects the backend server with the least expected delay for a request. What a server
 * has cached of the prompt is weighed as the time that reading it would take; see
 * {@link PrefixPlacement} for what is expected of servers that other nodes use.
 */
public final class ServerSelector {

	/**
	 * Estimated open requests per slot at which a server counts as full for the most
	 * urgent requests.
	 */
	private static final double MAX_OPEN_PER_SLOT = 1.5;

	/**
	 * Open requests per slot that are kept for more urgent requests if they are almost
	 * all of those that callers ask for.
	 */
	private static final double RESERVED_PER_SLOT = 0.6;

	private final NodeLocality locality;

	private final DelayEstimator estimator;

	/**
	 * Create a selector.
	 * @param locality the location of this node
	 */
	public ServerSelector(NodeLocality locality) {
		this.locality = locality;
		this.estimator = new DelayEstimator(locality);
	}

	/**
	 * Select a server for a request.
	 * @param servers the servers of the service
	 * @param needs what the request asks for
	 * @param pace the usual speed of the service's servers
	 * @param allowed accepts the servers that may get the request
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the server; empty if none is allowed, takes requests and has capacity left
	 */
	public Optional<ServerChoice> choose(Collection<KnownServer> servers, RequestNeeds needs, ServicePace pace,
			Predicate<KnownServer> allowed, long nowMillis) {
		ServicePace.Snapshot currentPace = pace.at(needs.urgency(), nowMillis);
		PrefixPlacement placement = PrefixPlacement.of(servers, this.locality.zone(), needs.prompt());
		long sharedTokens = needs.prompt().sharedTokens();
		double maxOpenPerSlot = MAX_OPEN_PER_SLOT - RESERVED_PER_SLOT * currentPace.shareMoreUrgent();
		ServerChoice best = null;
		boolean bestHasSlot = false;
		for (KnownServer server : servers) {
			if (!server.mayBeSentRequests(nowMillis) || !allowed.test(server)) {
				continue;
			}
			double openRequests = server.load().estimateOpenRequests(nowMillis);
			// What a server reports may delay a request there but not refuse it.
			if (openRequests >= maxOpenPerSlot * server.registration().slots()) {
				continue;
			}
			int rank = placement.rankOf(server);
			long ownTokens = server.promptCache().estimateCachedTokens(needs.prompt());
			double cachedTokens = Math.max(ownTokens * pace.placementTrust().sentShare(),
					sharedTokens * pace.placementTrust().shareOf(rank));
			ExpectedDelay delay = this.estimator.estimate(server, needs, cachedTokens, currentPace, nowMillis);
			boolean hasSlot = !needs.requiresSlot() || openRequests < server.slots();
			if (best == null || (hasSlot && !bestHasSlot)
					|| (hasSlot == bestHasSlot && delay.costMillis() < best.expectedDelayMillis())) {
				best = new ServerChoice(server, delay, cachedTokens, rank);
				bestHasSlot = hasSlot;
			}
		}
		return Optional.ofNullable(best);
	}

}
