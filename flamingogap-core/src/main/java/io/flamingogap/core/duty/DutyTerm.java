package io.flamingogap.core.duty;

import java.util.OptionalLong;

/**
 * Whether this node may act as the holder of the duties. The store's group names the
 * holder; a claim in the store gives it a fencing token. A holder stops when it has not
 * been confirmed for a while, and one that lost the duties and holds them again waits
 * until a lease has passed since it acted, so that two holders never act by turns.
 * <p>
 * Not safe for use by several threads.
 */
public final class DutyTerm {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long leaseMillis;

	private final long confirmMillis;

	private boolean held;

	private long actedAtMillis = NEVER;

	private long confirmedAtMillis = NEVER;

	private long notBeforeMillis = NEVER;

	private OptionalLong fencingToken = OptionalLong.empty();

	/**
	 * Create a term that is not held.
	 * @param leaseMillis the time in which two holders must not act by turns
	 * @param confirmMillis how long a confirmation by the store counts
	 */
	public DutyTerm(long leaseMillis, long confirmMillis) {
		this.leaseMillis = leaseMillis;
		this.confirmMillis = confirmMillis;
	}

	/**
	 * Record what the store says of the group.
	 * @param holds whether this node holds the duties
	 * @param askedAtMillis when the store was asked
	 */
	public void recordMembership(boolean holds, long askedAtMillis) {
		if (!holds) {
			recordLost();
			return;
		}
		if (!this.held || askedAtMillis - this.confirmedAtMillis > this.confirmMillis) {
			this.held = true;
			this.fencingToken = OptionalLong.empty();
		}
		this.confirmedAtMillis = askedAtMillis;
	}

	/**
	 * End the term: another node holds the duties, or this one can't be sure.
	 */
	public void recordLost() {
		this.held = false;
		this.fencingToken = OptionalLong.empty();
	}

	/**
	 * Return whether the node should claim the duties in the store.
	 * @param nowMillis the present time
	 * @return {@code true} if it holds them without a token and didn't act within a lease
	 */
	public boolean shouldClaim(long nowMillis) {
		return isHeld(nowMillis) && this.fencingToken.isEmpty() && nowMillis - this.actedAtMillis >= this.leaseMillis
				&& nowMillis >= this.notBeforeMillis;
	}

	/**
	 * Record that the store has accepted the claim.
	 * @param token the fencing token that goes with it
	 * @param nowMillis the present time
	 */
	public void recordClaim(long token, long nowMillis) {
		if (isHeld(nowMillis)) {
			this.fencingToken = OptionalLong.of(token);
		}
	}

	/**
	 * Record that a higher fencing token was seen: another node has acted since.
	 * @param nowMillis the present time
	 */
	public void recordFenced(long nowMillis) {
		this.fencingToken = OptionalLong.empty();
		this.notBeforeMillis = nowMillis + this.leaseMillis;
	}

	/**
	 * Record that the node acts as the holder.
	 * @param nowMillis the present time
	 */
	public void recordAction(long nowMillis) {
		this.actedAtMillis = nowMillis;
	}

	/**
	 * Return the token to act with.
	 * @param nowMillis the present time
	 * @return the token, if the node may act
	 */
	public OptionalLong validToken(long nowMillis) {
		return isHeld(nowMillis) ? this.fencingToken : OptionalLong.empty();
	}

	private boolean isHeld(long nowMillis) {
		return this.held && nowMillis - this.confirmedAtMillis <= this.confirmMillis;
	}

}
