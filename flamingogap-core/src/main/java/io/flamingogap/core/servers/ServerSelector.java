package io.flamingogap.core.servers;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the backend server for a request: the one with the least expected delay.
 * Prompts with the same shared part prefer the same server of a zone, which all nodes
 * work out alike from the part's id, so that its cache is filled once.
 */
public final class ServerSelector {

	/** Prompt tokens that an engine reads in a millisecond, from the users' sheets. */
	private static final double PROMPT_TOKENS_PER_MILLI = 66.2;

	/** Delay that each request of a batch adds to the others. */
	private static final double OPEN_COST_MILLIS = 2;

	/** Delay of a request that has to wait for a place. */
	private static final double WAIT_COST_MILLIS = 40;

	/** Delay that a server is charged with that fails all its requests. */
	private static final double FAILURE_COST_MILLIS = 1_500;

	/** Delay that a server is charged with whose registration ended under doubt. */
	private static final double DOUBT_COST_MILLIS = 200;

	/** Delay that a server is charged with that could not be reached. */
	private static final double UNREACHABLE_COST_MILLIS = 5_000;

	/** Requests beyond its places that a server is given, as a part of its places. */
	private static final double MAX_OVERCOMMIT = 1.5;

	private final NodeLocality placement;

	/**
	 * Create a selector.
	 * @param placement where the node stands
	 */
	public ServerSelector(NodeLocality placement) {
		this.placement = placement;
	}

	/**
	 * Choose a server.
	 * @param servers the servers of the service
	 * @param prompt the prompt; {@link PromptMetadata#NONE} for plain requests
	 * @param allowed which servers may get the request
	 * @param nowMillis the present time
	 * @return the server, if one has room
	 */
	public Optional<KnownServer> choose(Collection<KnownServer> servers, PromptMetadata prompt,
			Predicate<KnownServer> allowed, long nowMillis) {
		String home = homeOf(servers, prompt);
		KnownServer best = null;
		double bestMillis = Double.MAX_VALUE;
		for (KnownServer server : servers) {
			if (!server.takesRequests() || !allowed.test(server) || isFull(server, nowMillis)) {
				continue;
			}
			double costMillis = costMillis(server, prompt, server.registration().id().equals(home), nowMillis);
			if (costMillis < bestMillis) {
				best = server;
				bestMillis = costMillis;
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean isFull(KnownServer server, long nowMillis) {
		return server.load().estimateOpenRequests(nowMillis) >= server.registration().slots() * MAX_OVERCOMMIT;
	}

	private double costMillis(KnownServer server, PromptMetadata prompt, boolean isHome, long nowMillis) {
		ServerLoad load = server.load();
		double open = load.estimateOpenRequests(nowMillis);
		double excess = Math.max(0, open + 1 - server.registration().slots());
		long sharedTokens = prompt.sharedPrefix().stream().mapToLong(PromptPart::tokens).sum();
		long heldTokens = isHome ? sharedTokens : server.promptCache().estimateCachedTokens(prompt);
		double readMillis = (load.estimateUnreadTokens(nowMillis) + Math.max(0, prompt.promptTokens() - heldTokens))
				/ PROMPT_TOKENS_PER_MILLI;
		return readMillis + open * OPEN_COST_MILLIS + (excess + load.estimateWaiting(nowMillis)) * WAIT_COST_MILLIS
				+ server.health().failureShare(nowMillis) * FAILURE_COST_MILLIS
				+ (server.isSuspect() ? DOUBT_COST_MILLIS : 0)
				+ (server.health().isAvoided(nowMillis) ? UNREACHABLE_COST_MILLIS : 0)
				+ this.placement.distanceTo(server.registration().zone()).costMillis();
	}

	/**
	 * Find the server of this zone that is the home of a prompt's last shared part, by
	 * rendezvous hashing.
	 * @param servers the servers of the service
	 * @param prompt the prompt
	 * @return the id of the server, empty if there is none
	 */
	private String homeOf(Collection<KnownServer> servers, PromptMetadata prompt) {
		List<PromptPart> shared = prompt.sharedPrefix();
		if (shared.isEmpty()) {
			return "";
		}
		String part = shared.get(shared.size() - 1).id();
		String home = "";
		int highest = Integer.MIN_VALUE;
		for (KnownServer server : servers) {
			ServerRegistration entry = server.registration();
			if (entry.zone().equals(this.placement.zone()) && server.takesRequests()) {
				int weight = mix(part.hashCode() * 31 + entry.id().hashCode());
				if (weight >= highest) {
					highest = weight;
					home = entry.id();
				}
			}
		}
		return home;
	}

	/**
	 * Spread each input bit over the result, with the finalizer of MurmurHash3.
	 * @param value the input
	 * @return the mixed bits
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
