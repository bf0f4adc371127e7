package io.flamingogap.core.servers;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects the backend server with the least expected delay for a request. Prompts with
 * the same shared prefix prefer the same server of a zone, so that only its prompt cache
 * has to be filled. All nodes derive this server from the id of the prefix's last part.
 */
public final class ServerSelector {

	/** Estimated open requests per slot at which a server counts as full. */
	private static final double MAX_OPEN_PER_SLOT = 1.5;

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
		ServicePace.Snapshot currentPace = pace.at(nowMillis);
		String preferredId = findPreferredServer(servers, needs.prompt());
		ServerChoice best = null;
		for (KnownServer server : servers) {
			if (!server.mayBeSentRequests(nowMillis) || !allowed.test(server) || isFull(server, nowMillis)) {
				continue;
			}
			// The preferred server is expected to have the whole shared prefix cached.
			double cachedTokens = server.registration().id().equals(preferredId) ? needs.prompt().sharedTokens()
					: server.promptCache().estimateCachedTokens(needs.prompt());
			ExpectedDelay delay = this.estimator.estimate(server, needs, cachedTokens, currentPace, nowMillis);
			if (best == null || delay.costMillis() < best.expectedDelayMillis()) {
				best = new ServerChoice(server, delay, cachedTokens);
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean isFull(KnownServer server, long nowMillis) {
		return server.load().estimateOpenRequests(nowMillis) >= server.slots() * MAX_OPEN_PER_SLOT;
	}

	/**
	 * Find the server of this zone that is to cache a prompt's shared prefix, by
	 * rendezvous hashing of the id of the prefix's last part. It may not have the prefix
	 * cached yet.
	 * @param servers the servers of the service
	 * @param prompt the prompt
	 * @return the id of the server; an empty string if the prompt has no shared prefix or
	 * the zone has no server that takes requests
	 */
	private String findPreferredServer(Collection<KnownServer> servers, PromptMetadata prompt) {
		List<PromptPart> shared = prompt.sharedPrefix();
		if (shared.isEmpty()) {
			return "";
		}
		String partId = shared.get(shared.size() - 1).id();
		String preferredId = "";
		int highestWeight = Integer.MIN_VALUE;
		for (KnownServer server : servers) {
			ServerRegistration registration = server.registration();
			if (registration.zone().equals(this.locality.zone()) && server.takesRequests()) {
				int weight = mix(partId.hashCode() * 31 + registration.id().hashCode());
				if (weight >= highestWeight) {
					highestWeight = weight;
					preferredId = registration.id();
				}
			}
		}
		return preferredId;
	}

	/**
	 * Mix the bits of a value with the finalizer of MurmurHash3, so that each input bit
	 * affects every bit of the result.
	 * @param value the value to mix
	 * @return the mixed value
	 */
	private static int mix(int value) {
		int mixed = value;
		mixed ^= mixed >>> 16;
		mixed *= 0x85ebca6b;
		mixed ^= mixed >>> 13;
		mixed *= 0xc2b2ae35;
		return mixed ^ (mixed >>> 16);
	}

}
