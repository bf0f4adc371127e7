package io.flamingogap.core.servers;

import java.util.Collection;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Order in which the servers of a zone are to cache the shared prefix of a prompt, by
 * rendezvous hashing of the id of the prefix's last part. All nodes of the zone derive
 * the same order, so they agree without messages on the server that gets the prefix, and
 * on the next one that gets a copy when the first is busy.
 */
final class PrefixPlacement {

	/** The rank of servers that rendezvous hashing doesn't prefer. */
	static final int UNRANKED = -1;

	private final @Nullable KnownServer first;

	private final @Nullable KnownServer second;

	private PrefixPlacement(@Nullable KnownServer first, @Nullable KnownServer second) {
		this.first = first;
		this.second = second;
	}

	/**
	 * Find the order for a prompt.
	 * @param servers the servers of the service
	 * @param zone the zone of this node
	 * @param prompt the prompt
	 * @return the order, without any server if the prompt has no shared prefix
	 */
	static PrefixPlacement of(Collection<KnownServer> servers, String zone, PromptMetadata prompt) {
		List<PromptPart> shared = prompt.sharedPrefix();
		if (shared.isEmpty()) {
			return new PrefixPlacement(null, null);
		}
		int partHash = shared.get(shared.size() - 1).id().hashCode() * 31;
		KnownServer first = null;
		KnownServer second = null;
		int firstWeight = Integer.MIN_VALUE;
		int secondWeight = Integer.MIN_VALUE;
		for (KnownServer server : servers) {
			ServerRegistration registration = server.registration();
			if (!registration.zone().equals(zone) || !server.takesRequests()) {
				continue;
			}
			int weight = mix(partHash + registration.id().hashCode());
			if (weight >= firstWeight) {
				second = first;
				secondWeight = firstWeight;
				first = server;
				firstWeight = weight;
			}
			else if (weight >= secondWeight) {
				second = server;
				secondWeight = weight;
			}
		}
		return new PrefixPlacement(first, second);
	}

	/**
	 * Return the rank of a server.
	 * @param server the server
	 * @return 0 or 1 for the first two servers, {@link #UNRANKED} for the others
	 */
	int rankOf(KnownServer server) {
		if (server == this.first) {
			return 0;
		}
		return (server == this.second) ? 1 : UNRANKED;
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
