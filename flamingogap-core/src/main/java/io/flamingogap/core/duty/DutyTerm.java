package io.flamingogap.core.duty;

import java.util.OptionalLong;

/**
 * Tracks whether this node may act as the holder of the duties, like the leader in a
 * leader election. The membership of a group in the store determines the holder, and a
 * claim that the holder writes to the store yields its fencing token.
 * <p>
 * A holder must not act unless the store confirmed it recently. A node that lost the
 * duties and holds them again must not act until a lease has passed since its last
 * action, so that two nodes never act alternately within a lease.
 * <p>
 * This class is not thread-safe.
 */
public final class DutyTerm {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long leaseMillis;

	private final long confirmMillis;

	private boolean held;

	private long lastActionMillis = NEVER;

	private long lastConfirmedMillis = NEVER;

	private long claimNotBeforeMillis = NEVER;

	private OptionalLong fencingToken = OptionalLong.empty();

	/**
	 * Create a term in which this node doesn't hold the duties.
	 * @param leaseMillis the time within which two nodes must not act alternately, in
	 * milliseconds
	 * @param confirmMillis the time for which a confirmation by the store is valid, in
	 * milliseconds
	 */
	public DutyTerm(long leaseMillis, long confirmMillis) {
		this.leaseMillis = leaseMillis;
		this.confirmMillis = confirmMillis;
	}

	/**
	 * Record what the store reports about the group. After a gap in the confirmations,
	 * the duties must be claimed again.
	 * @param holds whether this node holds the duties
	 * @param askedAtMillis the time at which the store was asked, in milliseconds of a
	 * steady clock
	 */
	public void recordHolderStatus(boolean holds, long askedAtMillis) {
		if (!holds) {
			recordLost();
			return;
		}
		if (!this.held || askedAtMillis - this.lastConfirmedMillis > this.confirmMillis) {
			this.held = true;
			this.fencingToken = OptionalLong.empty();
		}
		this.lastConfirmedMillis = askedAtMillis;
	}

	/**
	 * Record that another node holds the duties or that this node can't know whether it
	 * still does.
	 */
	public void recordLost() {
		this.held = false;
		this.fencingToken = OptionalLong.empty();
	}

	/**
	 * Return whether this node should claim the duties in the store.
	 * @param nowMillis the current time of the steady clock in milliseconds
	 * @return {@code true} if the node holds the duties without a token and a lease has
	 * passed since it last acted or was fenced off
	 */
	public boolean shouldClaim(long nowMillis) {
		return isHeld(nowMillis) && this.fencingToken.isEmpty() && nowMillis - this.lastActionMillis >= this.leaseMillis
				&& nowMillis >= this.claimNotBeforeMillis;
	}

	/**
	 * Record that the store has accepted the claim. Has no effect if the confirmation has
	 * expired.
	 * @param token the fencing token of the claim
	 * @param nowMillis the current time of the steady clock in milliseconds
	 */
	public void recordClaim(long token, long nowMillis) {
		if (isHeld(nowMillis)) {
			this.fencingToken = OptionalLong.of(token);
		}
	}

	/**
	 * Record that an action was refused because a higher fencing token was seen, so
	 * another node has acted since. This node may claim the duties again after a lease.
	 * @param nowMillis the current time of the steady clock in milliseconds
	 */
	public void recordFenced(long nowMillis) {
		this.fencingToken = OptionalLong.empty();
		this.claimNotBeforeMillis = nowMillis + this.leaseMillis;
	}

	/**
	 * Record that this node now acts as the holder.
	 * @param nowMillis the current time of the steady clock in milliseconds
	 */
	public void recordAction(long nowMillis) {
		this.lastActionMillis = nowMillis;
	}

	/**
	 * Return the fencing token with which this node may act.
	 * @param nowMillis the current time of the steady clock in milliseconds
	 * @return the token; empty if the node must not act
	 */
	public OptionalLong validToken(long nowMillis) {
		return isHeld(nowMillis) ? this.fencingToken : OptionalLong.empty();
	}

	private boolean isHeld(long nowMillis) {
		return this.held && nowMillis - this.lastConfirmedMillis <= this.confirmMillis;
	}

}
