package io.flamingogap.core.servers;

/**
 * Delay that a request is expected to have at one server. The first terms add up to the
 * time to the first token, or to the response of a plain request; the last one is what
 * the selection adds for the risk that the server fails.
 *
 * @param backlogMillis the time until the engine has read the prompts before this one
 * @param readMillis the time in which it reads the part of this one that isn't cached
 * @param workMillis the time that the request takes at an idle server, without its prompt
 * @param batchMillis the time that the other requests of the engine's batch add
 * @param slotMillis the time until a slot is free
 * @param wayMillis the delay for the distance to the server
 * @param riskMillis the delay for failures and unreachability
 */
public record ExpectedDelay(double backlogMillis, double readMillis, double workMillis, double batchMillis,
		double slotMillis, double wayMillis, double riskMillis) {

	/**
	 * Return the part of the time that other requests at the server cause.
	 * @return the time in milliseconds
	 */
	public double waitMillis() {
		return this.backlogMillis + this.batchMillis + this.slotMillis;
	}

	/**
	 * Return the part of the time that the server's speed decides.
	 * @return the time in milliseconds
	 */
	public double atServerMillis() {
		return waitMillis() + this.readMillis + this.workMillis;
	}

	/**
	 * Return the predicted time from the dispatch to the first token, or to the response
	 * of a plain request.
	 * @return the time in milliseconds
	 */
	public double firstTokenMillis() {
		return atServerMillis() + this.wayMillis;
	}

	/**
	 * Return the delay by which servers are compared.
	 * @return the predicted time and the delay for risks, in milliseconds
	 */
	public double costMillis() {
		return firstTokenMillis() + this.riskMillis;
	}

}
