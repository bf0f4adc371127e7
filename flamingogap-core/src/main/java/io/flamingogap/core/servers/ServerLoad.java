package io.flamingogap.core.servers;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimate of a backend server's load. It combines the requests of this node, those that
 * the other nodes of its zone report, and the totals that the server reported in its last
 * answer.
 * <p>
 * Not thread-safe.
 */
public final class ServerLoad {

	/**
	 * Time constant with which a server's report loses weight. It is about the length of
	 * a stream, after which the reported requests have ended.
	 */
	private static final double REPORT_DECAY_MILLIS = 1_500;

	/**
	 * Time after which a peer's report is ignored. The later report that its requests
	 * ended may be lost.
	 */
	private static final long PEER_LOAD_EXPIRY_MILLIS = 2_500;

	private final Map<String, PeerLoad> peerLoads = new HashMap<>();

	private int openRequests;

	private long unreadTokens;

	private int othersRunning;

	private int queuedRequests;

	private long reportedAtMillis;

	/**
	 * Record that this node sent a request.
	 * @param promptTokens the prompt tokens that the server has to read because it hasn't
	 * cached them
	 */
	public void recordSent(long promptTokens) {
		this.openRequests++;
		this.unreadTokens += promptTokens;
	}

	/**
	 * Record that the server has read the prompt of a request, or won't read it any more.
	 * @param promptTokens the same number as was passed to {@link #recordSent}
	 */
	public void recordPromptRead(long promptTokens) {
		this.unreadTokens -= promptTokens;
	}

	/**
	 * Record that a request of this node ended.
	 */
	public void recordEnd() {
		this.openRequests--;
	}

	/**
	 * Record the load that the server reported in an answer.
	 * @param running the requests that the server runs, from all nodes
	 * @param waiting the requests in the server's queue, from all nodes
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordReport(int running, int waiting, long nowMillis) {
		this.othersRunning = Math.max(0, running - this.openRequests);
		this.queuedRequests = waiting;
		this.reportedAtMillis = nowMillis;
	}

	/**
	 * Record the report of another node about its requests at the server.
	 * @param node the name of the node
	 * @param openRequestCount the node's open requests at the server
	 * @param tokens the prompt tokens that the node sent and the server has not read yet
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordPeerLoad(String node, int openRequestCount, long tokens, long nowMillis) {
		this.peerLoads.put(node, new PeerLoad(openRequestCount, tokens, nowMillis));
	}

	private int peerOpenRequests(long nowMillis) {
		int sum = 0;
		for (PeerLoad peer : this.peerLoads.values()) {
			sum += peer.isCurrent(nowMillis) ? peer.openRequests : 0;
		}
		return sum;
	}

	/**
	 * Estimate the requests that the server runs or queues, from all nodes.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the number of requests, which may be fractional
	 */
	public double estimateOpenRequests(long nowMillis) {
		double reported = (this.othersRunning + this.queuedRequests) * reportWeight(nowMillis);
		return this.openRequests + Math.max(peerOpenRequests(nowMillis), reported);
	}

	/**
	 * Estimate the requests in the server's queue from its last report.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the number of requests, which may be fractional
	 */
	public double estimateWaiting(long nowMillis) {
		return this.queuedRequests * reportWeight(nowMillis);
	}

	private double reportWeight(long nowMillis) {
		return Math.exp(-(nowMillis - this.reportedAtMillis) / REPORT_DECAY_MILLIS);
	}

	/**
	 * Return the number of open requests that this node sent.
	 * @return the exact count
	 */
	public int openRequests() {
		return this.openRequests;
	}

	/**
	 * Return the prompt tokens that this node sent and the server has not read yet.
	 * @return the exact count
	 */
	public long unreadTokens() {
		return this.unreadTokens;
	}

	/**
	 * Estimate the prompt tokens that the server has not read yet, from this node and
	 * from nodes whose report hasn't expired.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the number of tokens
	 */
	public long estimateUnreadTokens(long nowMillis) {
		long sum = this.unreadTokens;
		for (PeerLoad peer : this.peerLoads.values()) {
			sum += peer.isCurrent(nowMillis) ? peer.unreadTokens : 0;
		}
		return sum;
	}

	private record PeerLoad(int openRequests, long unreadTokens, long receivedAtMillis) {

		private boolean isCurrent(long nowMillis) {
			return nowMillis - this.receivedAtMillis < PEER_LOAD_EXPIRY_MILLIS;
		}

	}

}
