package io.flamingogap.core.servers;

/**
 * How often a server has cached a prompt's shared prefix: one that this node sent it to,
 * and one that rendezvous hashing prefers although this node didn't, since other nodes of
 * the zone prefer the same server. Learned for each service.
 * <p>
 * Not thread-safe.
 */
public final class PlacementTrust {

	private static final double NEWEST_WEIGHT = 0.05;

	/** The shares by rank of the server, with the initial values. */
	private final double[] shares = { 0.9, 0.2 };

	private double sentShare = 0.95;

	/**
	 * Record whether a server had cached a prefix that this node sent it.
	 * @param hit whether it had
	 */
	public void recordSent(boolean hit) {
		this.sentShare += NEWEST_WEIGHT * ((hit ? 1 : 0) - this.sentShare);
	}

	/**
	 * Return the share of a prefix that a server is expected to have cached after this
	 * node sent it.
	 * @return a number from 0 to 1
	 */
	public double sentShare() {
		return this.sentShare;
	}

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
