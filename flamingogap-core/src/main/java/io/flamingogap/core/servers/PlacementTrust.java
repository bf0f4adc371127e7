package io.flamingogap.core.servers;

/**
 * How often a server that rendezvous hashing prefers for a prompt's shared prefix has
 * cached it although this node didn't send it there: other nodes of the zone prefer the
 * same server. Learned for each service.
 * <p>
 * Not thread-safe.
 */
public final class PlacementTrust {

	private static final double NEWEST_WEIGHT = 0.05;

	/** The initial shares, by rank of the server. */
	private final double[] shares = { 0.8, 0.2 };

	/**
	 * Record whether a server had cached the prefix.
	 * @param rank the rank of the server among those of its zone, from 0; other ranks
	 * than the first two are ignored
	 * @param hit whether it had
	 */
	public void record(int rank, boolean hit) {
		if (rank >= 0 && rank < this.shares.length) {
			this.shares[rank] += NEWEST_WEIGHT * ((hit ? 1 : 0) - this.shares[rank]);
		}
	}

	/**
	 * Return the share of the prefix that a server is expected to have cached.
	 * @param rank the rank of the server
	 * @return a number from 0 to 1
	 */
	public double shareOf(int rank) {
		return (rank >= 0 && rank < this.shares.length) ? this.shares[rank] : 0;
	}

}
