package io.flamingogap.core.duty;

import java.util.OptionalLong;

/**
 * State of this node's leadership: whether it may act as the holder of the duties. A
 * group in the store determines the holder, like the leader in a leader election. The
 * holder writes a claim to the store, which yields its fencing token.
 * <p>
 * A holder must not act unless the store confirmed it recently. A node that lost the
 * duties and holds them again must not act until a lease has passed since its last
 * action. So within a lease the duties never pass to another node and back. If the cloud
 * doesn't check fencing tokens, a holder also waits until the previous one has stopped.
 * <p>
 * Not thread-safe.
 */
public final class DutyTerm {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final long leaseMillis;

	private final Fencing fencing;

	private boolean heldAtLastReport;

	private long lastActionMillis = NEVER;

	private long lastConfirmedMillis = NEVER;

	private long claimNotBeforeMillis = NEVER;

	private long actNotBeforeMillis = NEVER;

	private OptionalLong fencingToken = OptionalLong.empty();

	/**
	 * Create a term in which this node doesn't hold the duties.
	 * @param leaseMillis the time that must pass after the last action of this node, or
	 * after it was fenced, before it claims the duties again, in milliseconds
	 * @param fencing who keeps a previous holder from acting
	 */
	public DutyTerm(long leaseMillis, Fencing fencing) {
		this.leaseMillis = leaseMillis;
		this.fencing = fencing;
	}

	/**
	 * Record what the store reports about the holder of the duties. If the previous
	 * confirmation has expired, the duties must be claimed again.
	 * @param isHolder whether this node holds the duties
	 * @param askedAtMillis the time at which the store was asked, in milliseconds of a
	 * monotonic clock
	 */
	public void recordHolderStatus(boolean isHolder, long askedAtMillis) {
		if (!isHolder) {
			recordLost();
			return;
		}
		if (!this.heldAtLastReport
				|| askedAtMillis - this.lastConfirmedMillis > this.fencing.confirmationValidMillis()) {
			this.heldAtLastReport = true;
			this.fencingToken = OptionalLong.empty();
		}
		this.lastConfirmedMillis = askedAtMillis;
	}

	/**
	 * Record that another node holds the duties or that this node can't know whether it
	 * still does.
	 */
	public void recordLost() {
		this.heldAtLastReport = false;
		this.fencingToken = OptionalLong.empty();
	}

	/**
	 * Return whether this node should claim the duties in the store.
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 * @return {@code true} if the node holds the duties without a token and a lease has
	 * passed since its last action and since it was last fenced
	 */
	public boolean shouldClaim(long nowMillis) {
		return isConfirmedHolder(nowMillis) && this.fencingToken.isEmpty()
				&& nowMillis - this.lastActionMillis >= this.leaseMillis && nowMillis >= this.claimNotBeforeMillis;
	}

	/**
	 * Record that the store has accepted the claim. Has no effect if the confirmation has
	 * expired.
	 * @param token the fencing token of the claim
	 * @param claimedBefore whether there was any earlier claim, whose node may still act
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 */
	public void recordClaim(long token, boolean claimedBefore, long nowMillis) {
		if (isConfirmedHolder(nowMillis)) {
			this.fencingToken = OptionalLong.of(token);
			this.actNotBeforeMillis = claimedBefore ? nowMillis + this.fencing.settlingMillis(this.leaseMillis)
					: nowMillis;
		}
	}

	/**
	 * Record that an action was refused because a higher fencing token was seen, so
	 * another node has acted since. This node may claim the duties again after a lease.
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 */
	public void recordFenced(long nowMillis) {
		this.fencingToken = OptionalLong.empty();
		this.claimNotBeforeMillis = nowMillis + this.leaseMillis;
	}

	/**
	 * Record that this node now acts as the holder.
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 */
	public void recordAction(long nowMillis) {
		this.lastActionMillis = nowMillis;
	}

	/**
	 * Return the fencing token with which this node may act.
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 * @return the token; empty if the node must not act
	 */
	public OptionalLong validToken(long nowMillis) {
		return (isConfirmedHolder(nowMillis) && nowMillis >= this.actNotBeforeMillis) ? this.fencingToken
				: OptionalLong.empty();
	}

	/**
	 * Return whether calls in progress must be ended, because another node may act before
	 * they take effect and the cloud would not refuse them.
	 * @param nowMillis the current time of the monotonic clock in milliseconds
	 * @return {@code true} if this node may not act and the holders keep the order
	 */
	public boolean mustEndCalls(long nowMillis) {
		return this.fencing == Fencing.KEPT_BY_HOLDERS && validToken(nowMillis).isEmpty();
	}

	private boolean isConfirmedHolder(long nowMillis) {
		return this.heldAtLastReport && nowMillis - this.lastConfirmedMillis <= this.fencing.confirmationValidMillis();
	}

}
