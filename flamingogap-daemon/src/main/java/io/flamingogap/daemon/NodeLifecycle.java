package io.flamingogap.daemon;

import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.membership.MemberState;
import io.flamingogap.core.membership.SuccessorSelector;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.KeySpacePart;
import io.flamingogap.core.request.RequestLedger;
import io.flamingogap.daemon.cloud.CloudClient.Notice;
import io.flamingogap.daemon.nodes.Membership;
import io.flamingogap.daemon.nodes.NodeClients;
import io.flamingogap.daemon.platformlog.AuditEntry;
import io.flamingogap.daemon.platformlog.AuditTrail;
import io.flamingogap.daemon.requests.KeyedRequests;
import io.flamingogap.daemon.settings.Settings;
import io.flamingogap.wire.CommitReply;

/**
 * Stops a node, either as planned or before its instance is reclaimed. The node is
 * removed from entry answers, keeps serving until all entry answers that list it have
 * expired, waits for open requests to end, hands its keys over to one successor, and
 * stops. The waits end early if the instance is reclaimed.
 */
final class NodeLifecycle {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long NO_DEADLINE_MILLIS = Long.MAX_VALUE;

	private static final long POLL_MILLIS = 20;

	private static final long CALL_TIMEOUT_MILLIS = 500;

	/**
	 * The stop margin divided by this number is reserved for announcing the end of the
	 * node after the last outcomes were sent.
	 */
	private static final int ANNOUNCE_MARGIN_DIVISOR = 4;

	private final Settings settings;

	private final Membership membership;

	private final KeyedRequests requests;

	private final NodeClients nodeClients;

	private final AuditTrail audit;

	private final Clock clock;

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final CountDownLatch stopped = new CountDownLatch(1);

	private volatile long reclaimAtMillis = NO_DEADLINE_MILLIS;

	private volatile boolean moveStreams;

	NodeLifecycle(Settings settings, Membership membership, KeyedRequests requests, NodeClients nodeClients,
			AuditTrail audit, Clock clock) {
		this.settings = settings;
		this.membership = membership;
		this.requests = requests;
		this.nodeClients = nodeClients;
		this.audit = audit;
		this.clock = clock;
	}

	/**
	 * Start a planned stop, unless the node is already stopping.
	 * @param who the operator, or the node itself
	 * @param cause the reason, as recorded in the audit trail
	 * @param openRequests supplies the number of open requests of callers
	 */
	void stop(String who, String cause, IntSupplier openRequests) {
		if (this.stopping.compareAndSet(false, true)) {
			record(who, "drain", cause);
			Thread thread = new Thread(() -> drainAndHandOver(openRequests), "node-stop");
			thread.start();
		}
	}

	/**
	 * Start a stop because the instance will be reclaimed, or shorten a stop that is in
	 * progress.
	 * @param notice the reclaim notice; the earliest reclaim time of all notices applies
	 * @param openRequests supplies the number of open requests of callers
	 */
	void reclaim(Notice notice, IntSupplier openRequests) {
		this.reclaimAtMillis = Math.min(this.reclaimAtMillis, notice.reclaimAtMillis());
		stop(this.membership.localMember().node().toString(), "reclaim notice for " + notice.reclaimAtMillis(),
				openRequests);
	}

	/**
	 * Return the time after which no new requests are dispatched.
	 * @return the time in milliseconds since 1970 UTC; {@link Long#MAX_VALUE} without a
	 * reclaim notice
	 */
	long lastDispatchMillis() {
		long reclaimMillis = this.reclaimAtMillis;
		return (reclaimMillis != NO_DEADLINE_MILLIS) ? reclaimMillis - this.settings.requests().stopMarginMillis()
				: NO_DEADLINE_MILLIS;
	}

	/**
	 * Return whether open streams should stop at this node, so that callers resume them
	 * at another entry node.
	 * @return {@code true} once the node starts to hand its keys over
	 */
	boolean shouldMoveStreams() {
		return this.moveStreams;
	}

	/**
	 * Wait until the node has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	void awaitStopped() throws InterruptedException {
		this.stopped.await();
	}

	private void drainAndHandOver(IntSupplier openRequests) {
		try {
			this.membership.announce(MemberState.DRAINING, null);
			long startedMillis = this.clock.millis();
			long entryEndMillis = startedMillis + this.settings.callers().entryTtlMillis()
					+ this.settings.nodes().heartbeatMillis();
			awaitUntil(() -> this.clock.millis() >= entryEndMillis);
			long deadlineMillis = this.clock.millis() + this.settings.callers().maxDeadlineMillis();
			awaitUntil(() -> isIdle(openRequests) || this.clock.millis() >= deadlineMillis);
			this.moveStreams = true;
			handOver();
			announceGone();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.stopped.countDown();
		}
	}

	private boolean isIdle(IntSupplier openRequests) {
		return openRequests.getAsInt() == 0 && this.requests.withLedger(RequestLedger::openRequests) == 0;
	}

	/**
	 * Wait for a condition, but not beyond {@link #lastDispatchMillis}.
	 * @param condition the condition
	 * @throws InterruptedException if the thread is interrupted
	 */
	private void awaitUntil(BooleanSupplier condition) throws InterruptedException {
		while (!condition.getAsBoolean() && this.clock.millis() < lastDispatchMillis()) {
			Thread.sleep(POLL_MILLIS);
		}
	}

	private void handOver() throws InterruptedException {
		Set<NodeId> tried = new HashSet<>();
		Optional<Member> successor = chooseSuccessor(tried);
		while (successor.isPresent() && !handOverTo(successor.get())) {
			tried.add(successor.get().node());
			this.requests.withLedger((ledger) -> {
				ledger.restartOffer();
				return ledger;
			});
			successor = chooseSuccessor(tried);
		}
		if (successor.isEmpty()) {
			logger.atWarning().log("no successor reachable: the keys of this node are lost when it stops");
			record(this.membership.localMember().node().toString(), "handover", "no successor could be reached");
		}
	}

	private Optional<Member> chooseSuccessor(Set<NodeId> tried) {
		return SuccessorSelector.choose(this.membership.localMember(), this.membership.members(), tried);
	}

	/**
	 * Hand all keys over to one node.
	 * @param successor the node
	 * @return {@code false} if the node didn't take over the keys, so that another node
	 * may be tried
	 * @throws InterruptedException if the thread is interrupted
	 */
	private boolean handOverTo(Member successor) throws InterruptedException {
		List<KeySpacePart> offered = this.requests.withLedger(RequestLedger::exportOffer);
		if (this.nodeClients.offer(successor, offered, CALL_TIMEOUT_MILLIS).isLeft()) {
			return false;
		}
		Optional<CommitReply> reply = commit(successor);
		if (reply.filter((value) -> value == CommitReply.REFUSED).isPresent()) {
			return !this.requests.withLedger((ledger) -> ledger.recordCommitRefused(successor.node()));
		}
		record(this.membership.localMember().node().toString(), "handover",
				"to " + successor.node() + (reply.isPresent() ? "" : ", not confirmed"));
		this.membership.announce(MemberState.HANDED_OVER, successor.node());
		sendOutcomes(successor);
		this.requests.redirectWaitingCallers(successor);
		return true;
	}

	/**
	 * Commit the handover to a successor. If no reply arrives, the commit is sent again
	 * to the same node and never to another one, because the first one may have taken
	 * effect.
	 * @param successor the node that accepted the offer
	 * @return the successor's reply, or empty if none arrived within the stop margin
	 * @throws InterruptedException if the thread is interrupted
	 */
	private Optional<CommitReply> commit(Member successor) throws InterruptedException {
		List<KeySpacePart> parts = this.requests.withLedger((ledger) -> ledger.commit(successor.node()));
		long deadlineMillis = this.clock.millis() + this.settings.requests().stopMarginMillis();
		while (this.clock.millis() < deadlineMillis) {
			Optional<CommitReply> reply = this.nodeClients.commit(successor, parts, CALL_TIMEOUT_MILLIS)
				.toJavaOptional();
			if (reply.filter((value) -> value != CommitReply.INCOMPLETE).isPresent()) {
				return reply;
			}
			parts = this.requests.withLedger(RequestLedger::fullCommit);
			Thread.sleep(POLL_MILLIS);
		}
		return Optional.empty();
	}

	private void sendOutcomes(Member successor) throws InterruptedException {
		long deadlineMillis = lastOutcomeMillis();
		do {
			List<KeySpacePart> newOutcomes = this.requests.withLedger(RequestLedger::exportNewOutcomes);
			if (newOutcomes.stream().anyMatch((part) -> !part.entries().isEmpty())) {
				this.nodeClients.sendOutcomes(successor, newOutcomes, CALL_TIMEOUT_MILLIS);
			}
			Thread.sleep(POLL_MILLIS);
		}
		while (this.requests.withLedger(RequestLedger::openRequests) > 0 && this.clock.millis() < deadlineMillis);
	}

	private long lastOutcomeMillis() {
		long reclaimMillis = this.reclaimAtMillis;
		return (reclaimMillis != NO_DEADLINE_MILLIS)
				? reclaimMillis - this.settings.requests().stopMarginMillis() / ANNOUNCE_MARGIN_DIVISOR
				: this.clock.millis() + this.settings.requests().stopMarginMillis();
	}

	private void announceGone() throws InterruptedException {
		Thread.sleep(Math.min(this.settings.nodes().heartbeatMillis(), CALL_TIMEOUT_MILLIS));
		this.membership.announce(MemberState.GONE, null);
		Thread.sleep(Math.min(this.settings.nodes().heartbeatMillis(), CALL_TIMEOUT_MILLIS));
	}

	private void record(String who, String what, String cause) {
		this.audit.record(new AuditEntry(this.clock.millis(), this.settings.node().name(), who, what,
				this.membership.localMember().node().toString(), cause, 0));
	}

}
