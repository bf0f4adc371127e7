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
 * The end of a node's life: a planned stop, or a reclaim with a deadline. The node leaves
 * the entry answers, serves until callers have had time to notice, waits for open
 * requests, passes its keys on to one successor, and stops.
 */
final class NodeLifecycle {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long NO_DEADLINE_MILLIS = Long.MAX_VALUE;

	private static final long LOOK_MILLIS = 20;

	private static final long STEP_TIMEOUT_MILLIS = 500;

	/** The part of the stop margin that is left for leaving once outcomes were sent. */
	private static final int LEAVING_PART = 4;

	private final Settings settings;

	private final Membership membership;

	private final KeyedRequests requests;

	private final NodeClients nodeClients;

	private final AuditTrail audit;

	private final Clock clock;

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final CountDownLatch stopped = new CountDownLatch(1);

	private volatile long reclaimAtMillis = NO_DEADLINE_MILLIS;

	private volatile boolean moving;

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
	 * Begin a planned stop, unless the node is stopping already.
	 * @param who the operator, or the node itself
	 * @param cause why
	 * @param openRequests the number of requests that callers have open
	 */
	void stop(String who, String cause, IntSupplier openRequests) {
		if (this.stopping.compareAndSet(false, true)) {
			record(who, "drain", cause);
			Thread thread = new Thread(() -> run(openRequests), "node-stop");
			thread.start();
		}
	}

	/**
	 * Begin or shorten a stop because the instance is reclaimed.
	 * @param notice the notice
	 * @param openRequests the number of requests that callers have open
	 */
	void reclaim(Notice notice, IntSupplier openRequests) {
		this.reclaimAtMillis = Math.min(this.reclaimAtMillis, notice.reclaimAtMillis());
		stop(this.membership.localMember().node().toString(), "reclaim notice for " + notice.reclaimAtMillis(),
				openRequests);
	}

	/**
	 * Return until when new dispatches are made.
	 * @return the time, in milliseconds since 1970 UTC
	 */
	long lastDispatchMillis() {
		long reclaimMillis = this.reclaimAtMillis;
		return (reclaimMillis != NO_DEADLINE_MILLIS) ? reclaimMillis - this.settings.requests().stopMarginMillis()
				: NO_DEADLINE_MILLIS;
	}

	/**
	 * Return whether open streams are to go on at another entry node.
	 * @return {@code true} from shortly before a reclaim
	 */
	boolean isMoving() {
		return this.moving;
	}

	/**
	 * Wait for the end of a stop.
	 * @throws InterruptedException if the thread is interrupted
	 */
	void awaitStopped() throws InterruptedException {
		this.stopped.await();
	}

	private void run(IntSupplier openRequests) {
		try {
			this.membership.announce(MemberState.DRAINING, null);
			long startedMillis = this.clock.millis();
			long entryEndMillis = startedMillis + this.settings.callers().entryTtlMillis()
					+ this.settings.nodes().heartbeatMillis();
			awaitUntil(() -> this.clock.millis() >= entryEndMillis);
			long latestMillis = this.clock.millis() + this.settings.callers().maxDeadlineMillis();
			awaitUntil(() -> isIdle(openRequests) || this.clock.millis() >= latestMillis);
			this.moving = true;
			handOver();
			leave();
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
	 * Wait for a condition, or until no time is left before a reclaim.
	 * @param condition the condition
	 * @throws InterruptedException if the thread is interrupted
	 */
	private void awaitUntil(BooleanSupplier condition) throws InterruptedException {
		while (!condition.getAsBoolean() && this.clock.millis() < lastDispatchMillis()) {
			Thread.sleep(LOOK_MILLIS);
		}
	}

	private void handOver() throws InterruptedException {
		Set<NodeId> tried = new HashSet<>();
		Optional<Member> successor = choose(tried);
		while (successor.isPresent() && !passOnTo(successor.get())) {
			tried.add(successor.get().node());
			this.requests.withLedger((ledger) -> {
				ledger.restartOffer();
				return ledger;
			});
			successor = choose(tried);
		}
		if (successor.isEmpty()) {
			logger.atWarning().log("no successor: keys of this node end with it");
			record(this.membership.localMember().node().toString(), "handover", "no successor could be reached");
		}
	}

	private Optional<Member> choose(Set<NodeId> tried) {
		return SuccessorSelector.choose(this.membership.localMember(), this.membership.members(), tried);
	}

	/**
	 * Pass all keys on to one node.
	 * @param successor the node
	 * @return {@code false} if another node may be tried
	 * @throws InterruptedException if the thread is interrupted
	 */
	private boolean passOnTo(Member successor) throws InterruptedException {
		List<KeySpacePart> offered = this.requests.withLedger(RequestLedger::exportOffer);
		if (this.nodeClients.offer(successor, offered, STEP_TIMEOUT_MILLIS).isLeft()) {
			return false;
		}
		Optional<CommitReply> reply = commit(successor);
		if (reply.filter((done) -> done == CommitReply.REFUSED).isPresent()) {
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
	 * Commit to a successor. Without a reply the commit is sent again, and never to
	 * another node.
	 * @param successor the node that holds the offer
	 * @return what the successor did, if it became known in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	private Optional<CommitReply> commit(Member successor) throws InterruptedException {
		List<KeySpacePart> parts = this.requests.withLedger((ledger) -> ledger.commit(successor.node()));
		long latestMillis = this.clock.millis() + this.settings.requests().stopMarginMillis();
		while (this.clock.millis() < latestMillis) {
			Optional<CommitReply> reply = this.nodeClients.commit(successor, parts, STEP_TIMEOUT_MILLIS)
				.toJavaOptional();
			if (reply.filter((done) -> done != CommitReply.INCOMPLETE).isPresent()) {
				return reply;
			}
			parts = this.requests.withLedger(RequestLedger::fullCommit);
			Thread.sleep(LOOK_MILLIS);
		}
		return Optional.empty();
	}

	private void sendOutcomes(Member successor) throws InterruptedException {
		long latestMillis = lastOutcomeMillis();
		do {
			List<KeySpacePart> changed = this.requests.withLedger(RequestLedger::exportNewOutcomes);
			if (changed.stream().anyMatch((part) -> !part.entries().isEmpty())) {
				this.nodeClients.sendOutcomes(successor, changed, STEP_TIMEOUT_MILLIS);
			}
			Thread.sleep(LOOK_MILLIS);
		}
		while (this.requests.withLedger(RequestLedger::openRequests) > 0 && this.clock.millis() < latestMillis);
	}

	private long lastOutcomeMillis() {
		long reclaimMillis = this.reclaimAtMillis;
		return (reclaimMillis != NO_DEADLINE_MILLIS)
				? reclaimMillis - this.settings.requests().stopMarginMillis() / LEAVING_PART
				: this.clock.millis() + this.settings.requests().stopMarginMillis();
	}

	private void leave() throws InterruptedException {
		Thread.sleep(Math.min(this.settings.nodes().heartbeatMillis(), STEP_TIMEOUT_MILLIS));
		this.membership.announce(MemberState.GONE, null);
		Thread.sleep(Math.min(this.settings.nodes().heartbeatMillis(), STEP_TIMEOUT_MILLIS));
	}

	private void record(String who, String what, String cause) {
		this.audit.record(new AuditEntry(this.clock.millis(), this.settings.node().name(), who, what,
				this.membership.localMember().node().toString(), cause, 0));
	}

}
