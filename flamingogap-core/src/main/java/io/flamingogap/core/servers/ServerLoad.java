package io.flamingogap.core.servers;

import java.util.HashMap;
import java.util.Map;

/**
 * How loaded a backend server seems: the requests of this node, those that the nodes of
 * its zone tell of, and the others by what the server's last answer reported.
 * <p>
 * Not safe for use by several threads.
 */
public final class ServerLoad {

	/** Time in which a report loses most of its worth; about the length of a stream. */
	private static final double REPORT_DECAY_MILLIS = 1_500;

	/** What a node told lapses after this time, in case the news of the end was lost. */
	private static final long PEER_LAPSE_MILLIS = 2_500;

	private final Map<String, PeerLoad> peers = new HashMap<>();

	private int open;

	private long unreadTokens;

	private int othersRunning;

	private int othersWaiting;

	private long reportedAtMillis;

	/**
	 * Record that a request is sent.
	 * @param promptTokens the prompt tokens that the server has to read
	 */
	public void recordSent(long promptTokens) {
		this.open++;
		this.unreadTokens += promptTokens;
	}

	/**
	 * Record that the server has read a prompt, or will not.
	 * @param promptTokens the tokens, as recorded when the request was sent
	 */
	public void recordPromptRead(long promptTokens) {
		this.unreadTokens -= promptTokens;
	}

	/**
	 * Record the end of a request.
	 */
	public void recordEnd() {
		this.open--;
	}

	/**
	 * Record what an answer reported.
	 * @param running the requests that the server runs, from all nodes
	 * @param waiting the requests that wait in its queue
	 * @param nowMillis the present time
	 */
	public void recordReport(int running, int waiting, long nowMillis) {
		this.othersRunning = Math.max(0, running - this.open);
		this.othersWaiting = waiting;
		this.reportedAtMillis = nowMillis;
	}

	/**
	 * Record what another node told of its load here.
	 * @param node the name of the node
	 * @param openRequests its open requests
	 * @param tokens the prompt tokens that it sent and the server has not read yet
	 * @param nowMillis the present time
	 */
	public void recordPeerLoad(String node, int openRequests, long tokens, long nowMillis) {
		this.peers.put(node, new PeerLoad(openRequests, tokens, nowMillis));
	}

	private int peersOpen(long nowMillis) {
		int sum = 0;
		for (PeerLoad peer : this.peers.values()) {
			sum += peer.isFresh(nowMillis) ? peer.open : 0;
		}
		return sum;
	}

	/**
	 * Estimate the requests that the server runs or queues.
	 * @param nowMillis the present time
	 * @return the estimate
	 */
	public double estimateOpenRequests(long nowMillis) {
		double reported = (this.othersRunning + this.othersWaiting) * freshness(nowMillis);
		return this.open + Math.max(peersOpen(nowMillis), reported);
	}

	/**
	 * Estimate the requests that wait in the server's queue.
	 * @param nowMillis the present time
	 * @return the estimate
	 */
	public double estimateWaiting(long nowMillis) {
		return this.othersWaiting * freshness(nowMillis);
	}

	private double freshness(long nowMillis) {
		return Math.exp(-(nowMillis - this.reportedAtMillis) / REPORT_DECAY_MILLIS);
	}

	/**
	 * Return the open requests of this node.
	 * @return the number
	 */
	public int openRequests() {
		return this.open;
	}

	/**
	 * Return the prompt tokens that this node sent and the server has not read yet.
	 * @return the number
	 */
	public long unreadTokens() {
		return this.unreadTokens;
	}

	/**
	 * Estimate the prompt tokens that the server has to read, for this node and those
	 * that told of theirs.
	 * @param nowMillis the present time
	 * @return the estimate
	 */
	public long estimateUnreadTokens(long nowMillis) {
		long sum = this.unreadTokens;
		for (PeerLoad peer : this.peers.values()) {
			sum += peer.isFresh(nowMillis) ? peer.unreadTokens : 0;
		}
		return sum;
	}

	private record PeerLoad(int open, long unreadTokens, long toldAtMillis) {

		private boolean isFresh(long nowMillis) {
			return nowMillis - this.toldAtMillis < PEER_LAPSE_MILLIS;
		}

	}

}
