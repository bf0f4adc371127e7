package io.flamingogap.core.servers;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimate of a backend server's load. It combines the requests of this node, those that
 * the other nodes of its zone report, and the totals that the server reported in its
 * answers.
 * <p>
 * Not thread-safe.
 */
public final class ServerLoad {

	/**
	 * Longest time constant with which a server's report yields to the average of its
	 * reports.
	 */
	private static final double MAX_REPORT_DECAY_MILLIS = 1_500;

	private static final double MIN_REPORT_DECAY_MILLIS = 20;

	/** Time constant with which the average of the reports loses weight. */
	private static final double AVERAGE_DECAY_MILLIS = 3_000;

	/** Weight of the newest report in the average. */
	private static final double NEWEST_WEIGHT = 0.2;

	/**
	 * Time after which a peer's report is ignored. The later report that its requests
	 * ended may be lost.
	 */
	private static final long PEER_LOAD_EXPIRY_MILLIS = 2_500;

	private final Map<String, PeerLoad> peerLoads = new HashMap<>();

	private int openRequests;

	private long unreadTokens;

	private double othersOpen;

	private double averageOthersOpen;

	private int queuedRequests;

	private double reportDecayMillis = MAX_REPORT_DECAY_MILLIS;

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
	 * @param slotMillis the time for which a request occupies a slot, after which the
	 * reported requests have ended
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordReport(int running, int waiting, double slotMillis, long nowMillis) {
		recordOthers(Math.max(0, running - this.openRequests) + Math.max(0, waiting), slotMillis, nowMillis);
		this.queuedRequests = Math.max(0, waiting);
	}

	/**
	 * Record that the server turned a request away because it was full, without reporting
	 * its load.
	 * @param slots the requests that the server runs concurrently
	 * @param slotMillis the time for which a request occupies a slot
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordFull(int slots, double slotMillis, long nowMillis) {
		recordOthers(Math.max(0, slots + 1 - this.openRequests), slotMillis, nowMillis);
		this.queuedRequests = 1;
	}

	private void recordOthers(double others, double slotMillis, long nowMillis) {
		double average = averageOthersOpen(nowMillis);
		this.averageOthersOpen = average + NEWEST_WEIGHT * (others - average);
		this.othersOpen = others;
		this.reportDecayMillis = Math.max(MIN_REPORT_DECAY_MILLIS, Math.min(MAX_REPORT_DECAY_MILLIS, slotMillis));
		this.reportedAtMillis = nowMillis;
	}

	private double averageOthersOpen(long nowMillis) {
		return this.averageOthersOpen * Math.exp(-(nowMillis - this.reportedAtMillis) / AVERAGE_DECAY_MILLIS);
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
		double weight = reportWeight(nowMillis);
		double reported = this.othersOpen * weight + averageOthersOpen(nowMillis) * (1 - weight);
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
		return Math.exp(-(nowMillis - this.reportedAtMillis) / this.reportDecayMillis);
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
