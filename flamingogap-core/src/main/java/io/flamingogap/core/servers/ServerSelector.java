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

	/**
	 * Delay that each open request of a server adds to a new one, as the engine processes
	 * them in one batch.
	 */
	private static final double OPEN_REQUEST_COST_MILLIS = 2;

	/** Delay that each request waiting for a slot adds to a new one. */
	private static final double WAITING_COST_MILLIS = 40;

	/** Delay added for a server that fails all of its requests. */
	private static final double FAILURE_COST_MILLIS = 1_500;

	/**
	 * Delay added for a server whose registration ended while the store was disrupted.
	 */
	private static final double SUSPECT_COST_MILLIS = 200;

	/** Delay added for a server that couldn't be reached a short time ago. */
	private static final double UNREACHABLE_COST_MILLIS = 5_000;

	/** Estimated open requests per slot at which a server counts as full. */
	private static final double MAX_OPEN_PER_SLOT = 1.5;

	private final NodeLocality locality;

	/**
	 * Create a selector.
	 * @param locality the location of this node
	 */
	public ServerSelector(NodeLocality locality) {
		this.locality = locality;
	}

	/**
	 * Select a server for a request.
	 * @param servers the servers of the service
	 * @param prompt the prompt; {@link PromptMetadata#NONE} for requests without one
	 * @param speed the speed at which the servers read prompts
	 * @param allowed accepts the servers that may get the request
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the server; empty if none is allowed, takes requests and has capacity left
	 */
	public Optional<KnownServer> choose(Collection<KnownServer> servers, PromptMetadata prompt, PromptSpeed speed,
			Predicate<KnownServer> allowed, long nowMillis) {
		double tokensPerMilli = speed.tokensPerMilli(nowMillis);
		String preferredId = findPreferredServer(servers, prompt);
		KnownServer best = null;
		double bestMillis = Double.MAX_VALUE;
		for (KnownServer server : servers) {
			if (!server.mayBeSentRequests(nowMillis) || !allowed.test(server) || isFull(server, nowMillis)) {
				continue;
			}
			double costMillis = costMillis(server, prompt, server.registration().id().equals(preferredId),
					tokensPerMilli, nowMillis);
			if (costMillis < bestMillis) {
				best = server;
				bestMillis = costMillis;
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean isFull(KnownServer server, long nowMillis) {
		return server.load().estimateOpenRequests(nowMillis) >= server.registration().slots() * MAX_OPEN_PER_SLOT;
	}

	private double costMillis(KnownServer server, PromptMetadata prompt, boolean isPreferred, double tokensPerMilli,
			long nowMillis) {
		ServerLoad load = server.load();
		double open = load.estimateOpenRequests(nowMillis);
		double requestsOverSlots = Math.max(0, open + 1 - server.registration().slots());
		long sharedTokens = prompt.sharedTokens();
		// The preferred server is expected to have the whole shared prefix cached.
		long cachedTokens = isPreferred ? sharedTokens : server.promptCache().estimateCachedTokens(prompt);
		double readMillis = (load.estimateUnreadTokens(nowMillis) + Math.max(0, prompt.promptTokens() - cachedTokens))
				/ tokensPerMilli;
		return readMillis + open * OPEN_REQUEST_COST_MILLIS
				+ (requestsOverSlots + load.estimateWaiting(nowMillis)) * WAITING_COST_MILLIS
				+ server.health().failureShare(nowMillis) * FAILURE_COST_MILLIS
				+ (server.isSuspect() ? SUSPECT_COST_MILLIS : 0) + server.run().pause().returnCostMillis(nowMillis)
				+ (server.health().isAvoided(nowMillis) ? UNREACHABLE_COST_MILLIS : 0)
				+ this.locality.distanceTo(server.registration().zone()).costMillis();
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
