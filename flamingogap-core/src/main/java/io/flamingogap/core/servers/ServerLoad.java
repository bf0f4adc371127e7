package io.flamingogap.core.servers;

/**
 * How loaded a backend server seems: the requests of this node, and those of other nodes
 * by what the server's last answer reported.
 * <p>
 * Not safe for use by several threads.
 */
public final class ServerLoad {

	/** Time in which a report loses most of its worth; about the length of a stream. */
	private static final double REPORT_DECAY_MILLIS = 1_500;

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
	 * Estimate the requests that the server runs or queues.
	 * @param nowMillis the present time
	 * @return the estimate
	 */
	public double estimateOpen(long nowMillis) {
		return this.open + (this.othersRunning + this.othersWaiting) * freshness(nowMillis);
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
	public int open() {
		return this.open;
	}

	/**
	 * Return the prompt tokens that this node sent and the server has not read yet.
	 * @return the number
	 */
	public long unreadTokens() {
		return this.unreadTokens;
	}

}
