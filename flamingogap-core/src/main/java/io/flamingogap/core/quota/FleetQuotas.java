package io.flamingogap.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.flamingogap.core.serving.ClientAccount;

/**
 * Admits requests within the accounts' quotas, which all nodes share. A few nodes hold
 * the quota of an account, each an equal share, and the others ask them for the units of
 * each request, the nearest holder first. A holder spends the units before it answers, so
 * that a lost or doubled message can lose units but never spend them twice.
 * <p>
 * Not thread-safe.
 */
public final class FleetQuotas {

	/** How long to wait for the answer of a holder before the next one is asked. */
	static final long ANSWER_TIMEOUT_MILLIS = 80;

	/**
	 * A timer that runs later than this shows that this process did not run. What arrived
	 * meanwhile is read first.
	 */
	private static final long MAX_TIMER_DELAY_MILLIS = 20;

	/** How long what has arrived is read before a late timer counts. */
	private static final long READ_MILLIS = 5;

	/** How long a holder that didn't answer is asked last. */
	private static final long AVOID_MILLIS = 1_000;

	/**
	 * Maximum time for which requests are refused without asking the holders again, after
	 * all of them refused one. Bounds the messages of an account that is far over its
	 * quota.
	 */
	private static final long MAX_REFUSAL_MILLIS = 100;

	/** Pause before holders that didn't answer are asked for waiting requests. */
	private static final long ASK_AGAIN_MILLIS = 100;

	/** How long after the timeout an answer may arrive whose units are returned. */
	private static final long LATE_ANSWER_MILLIS = 3_000;

	/** Number of refunds that are remembered, so that a doubled one counts once. */
	private static final int MAX_REMEMBERED_REFUNDS = 1_024;

	private final QuotaMember self;

	private final QuotaLimiter limiter;

	private final QuotaPeers peers;

	private final Function<String, Optional<ClientAccount>> accountsByName;

	private final QuotaHolderSelector selector = new QuotaHolderSelector();

	private final Map<String, List<QuotaMember>> holdersByAccount = new HashMap<>();

	private final Map<String, Long> avoidUntilMillis = new HashMap<>();

	private final Map<String, RecentRefusal> recentRefusals = new HashMap<>();

	private final WaitingInquiries waiting = new WaitingInquiries();

	private final Set<RefundKey> seenRefunds = new LinkedHashSet<>();

	private final Set<String> knownAccounts = new HashSet<>();

	private Set<QuotaMember> members = Set.of();

	private final Questions questions;

	/**
	 * Create the part of one node, which holds nothing before the first {@link #update}.
	 * @param self this node
	 * @param tolerance the excess that is allowed over all nodes
	 * @param peers the connection to the other nodes
	 * @param accountsByName finds an account of the current configuration
	 * @param firstId the id of the first message; should differ from run to run
	 */
	public FleetQuotas(QuotaMember self, QuotaTolerance tolerance, QuotaPeers peers,
			Function<String, Optional<ClientAccount>> accountsByName, long firstId) {
		this.self = self;
		this.limiter = new QuotaLimiter(tolerance);
		this.peers = peers;
		this.accountsByName = accountsByName;
		this.questions = new Questions(firstId);
	}

	/**
	 * Update the members and accounts, and with them the shares that this node holds.
	 * @param newMembers all nodes that share the quotas, including this one
	 * @param accounts the accounts of the current configuration
	 * @param start how this node comes to hold shares in its first update; in later ones
	 * it takes over shares of accounts that it knows
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void update(Set<QuotaMember> newMembers, Collection<ClientAccount> accounts, HoldingStart start,
			long nowMillis) {
		boolean isFirst = this.members.isEmpty();
		if (!newMembers.equals(this.members)) {
			this.members = Set.copyOf(newMembers);
			this.holdersByAccount.clear();
		}
		Set<String> names = new HashSet<>();
		for (ClientAccount account : accounts) {
			if (account.quota().isLimited()) {
				names.add(account.name());
				boolean isNew = this.knownAccounts.add(account.name());
				HoldingStart laterStart = isNew ? HoldingStart.UNSPENT : HoldingStart.TAKEN_OVER;
				updateHolding(account.name(), isFirst ? start : laterStart, nowMillis);
			}
		}
		this.knownAccounts.stream().filter((name) -> !names.contains(name)).forEach(this.limiter::release);
		this.knownAccounts.retainAll(names);
		if (isFirst) {
			this.waiting.accounts().forEach((account) -> this.questions.askForFirstWaiting(account, nowMillis));
		}
	}

	private void updateHolding(String account, HoldingStart start, long nowMillis) {
		List<QuotaMember> holders = holdersOf(account);
		if (holders.contains(this.self)) {
			this.limiter.hold(account, 1.0 / holders.size(), start, nowMillis);
		}
		else {
			this.limiter.release(account);
		}
	}

	private List<QuotaMember> holdersOf(String account) {
		return this.holdersByAccount.computeIfAbsent(account, (name) -> this.selector.select(name, this.members));
	}

	/**
	 * Record that this process did not run for so long that the other nodes may have
	 * replaced it as a holder.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordInterruption(long nowMillis) {
		this.limiter.retakeAll(nowMillis);
	}

	/**
	 * Admit a request or refuse it. If no holder answers, or none is known before the
	 * first update, the request waits for up to a second, so that the start of many nodes
	 * at once refuses nobody.
	 * @param account the account of the caller
	 * @param cost the units that the request uses
	 * @param listener receives the decision, exactly once, possibly before this method
	 * returns
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void admit(ClientAccount account, long cost, DecisionListener listener, long nowMillis) {
		if (!account.quota().isLimited()) {
			listener.onDecided(QuotaDecision.UNLIMITED, QuotaCharge.NONE);
			return;
		}
		RecentRefusal recent = this.recentRefusals.get(account.name());
		if (recent != null && recent.applies(cost, nowMillis)) {
			listener.onDecided(recent.decision(), QuotaCharge.NONE);
			return;
		}
		QuotaInquiry inquiry = new QuotaInquiry(account, cost, this.questions, listener, nowMillis);
		if (!this.waiting.isAnyWaiting(account.name())) {
			inquiry.ask(orderHolders(account.name(), nowMillis), nowMillis);
		}
		else if (!this.waiting.add(inquiry)) {
			inquiry.refuse(nowMillis);
		}
	}

	private List<QuotaMember> orderHolders(String account, long nowMillis) {
		List<QuotaMember> ordered = new ArrayList<>(holdersOf(account));
		ordered.sort(Comparator.comparing((QuotaMember holder) -> isAvoided(holder, nowMillis))
			.thenComparing(this.self::distanceTo));
		return ordered;
	}

	private boolean isAvoided(QuotaMember holder, long nowMillis) {
		return nowMillis < this.avoidUntilMillis.getOrDefault(holder.node(), Long.MIN_VALUE);
	}

	/**
	 * Return the units of a request that didn't run to the holders that spent them.
	 * @param account the account of the caller
	 * @param charge what was spent for the request
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void refund(ClientAccount account, QuotaCharge charge, long nowMillis) {
		charge.parts().forEach((part) -> this.questions.refund(account, part, nowMillis));
	}

	/**
	 * Handle a message of another node.
	 * @param node the name of the sender
	 * @param message the message
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void receive(String node, QuotaMessage message, long nowMillis) {
		if (message instanceof QuotaMessage.Charge charge) {
			this.peers.send(node, decide(charge, nowMillis));
		}
		else if (message instanceof QuotaMessage.Refund refund) {
			if (isFirstDelivery(new RefundKey(node, refund.id()))) {
				this.accountsByName.apply(refund.account())
					.ifPresent((account) -> this.limiter.refund(account, refund.units(), nowMillis));
			}
		}
		else if (message instanceof QuotaMessage.Verdict verdict) {
			this.questions.onVerdict(verdict, nowMillis);
		}
	}

	private QuotaMessage.Verdict decide(QuotaMessage.Charge charge, long nowMillis) {
		return this.accountsByName.apply(charge.account())
			.flatMap((account) -> this.limiter.trySpend(account, charge.units(), nowMillis, this.self.node()))
			.map((decision) -> new QuotaMessage.Verdict(charge.id(), true, decision.waitMillis(),
					decision.missingUnits(), decision.availableUnits()))
			.orElseGet(() -> new QuotaMessage.Verdict(charge.id(), false, 0, 0, 0));
	}

	private boolean isFirstDelivery(RefundKey key) {
		if (!this.seenRefunds.add(key)) {
			return false;
		}
		if (this.seenRefunds.size() > MAX_REMEMBERED_REFUNDS) {
			this.seenRefunds.remove(this.seenRefunds.iterator().next());
		}
		return true;
	}

	/**
	 * Receives the decision on a request.
	 */
	@FunctionalInterface
	public interface DecisionListener {

		/**
		 * Receive the decision.
		 * @param decision whether the request is admitted
		 * @param charge what was spent for it, to be passed to {@link FleetQuotas#refund}
		 * if the request doesn't run
		 */
		void onDecided(QuotaDecision decision, QuotaCharge charge);

	}

	private record RefundKey(String node, long id) {
	}

	/**
	 * Refusal by all holders, which also applies to requests that need as many units.
	 */
	private record RecentRefusal(QuotaDecision decision, long cost, long untilMillis) {

		private boolean applies(long otherCost, long nowMillis) {
			return otherCost >= this.cost && nowMillis < this.untilMillis;
		}

	}

	/**
	 * Question to a holder that has not answered yet.
	 */
	private record OpenQuestion(QuotaInquiry inquiry, QuotaMember holder, long id, long units) {
	}

	/**
	 * Puts the questions of inquiries to the holders and keeps the open ones.
	 */
	private final class Questions implements QuotaInquiry.Holders {

		private final Map<Long, OpenQuestion> open = new HashMap<>();

		private long nextId;

		private Questions(long firstId) {
			this.nextId = firstId;
		}

		@Override
		public long nextId() {
			return this.nextId++;
		}

		@Override
		public void ask(QuotaInquiry inquiry, QuotaMember holder, long id, long units, long nowMillis) {
			OpenQuestion question = new OpenQuestion(inquiry, holder, id, units);
			if (holder.equals(FleetQuotas.this.self)) {
				answer(question, FleetQuotas.this.limiter.trySpend(inquiry.account(), units, nowMillis, holder.node()),
						nowMillis);
				return;
			}
			this.open.put(id, question);
			FleetQuotas.this.peers.send(holder.node(), new QuotaMessage.Charge(id, inquiry.account().name(), units));
			FleetQuotas.this.peers.schedule(ANSWER_TIMEOUT_MILLIS, (laterMillis) -> {
				if (laterMillis - nowMillis > ANSWER_TIMEOUT_MILLIS + MAX_TIMER_DELAY_MILLIS) {
					FleetQuotas.this.peers.schedule(READ_MILLIS, (readMillis) -> onTimeout(question, readMillis));
				}
				else {
					onTimeout(question, laterMillis);
				}
			});
		}

		private void onTimeout(OpenQuestion question, long nowMillis) {
			if (this.open.containsKey(question.id())) {
				FleetQuotas.this.avoidUntilMillis.put(question.holder().node(), nowMillis + AVOID_MILLIS);
				FleetQuotas.this.peers.schedule(LATE_ANSWER_MILLIS, (laterMillis) -> this.open.remove(question.id()));
				question.inquiry().onNoAnswer(question.id(), nowMillis);
			}
		}

		private void onVerdict(QuotaMessage.Verdict verdict, long nowMillis) {
			OpenQuestion question = this.open.remove(verdict.id());
			if (question != null) {
				Optional<QuotaDecision> decision = verdict.isHolder()
						? Optional.of(new QuotaDecision(verdict.waitMillis(), verdict.missingUnits(),
								verdict.availableUnits(), question.holder().node()))
						: Optional.empty();
				answer(question, decision, nowMillis);
			}
		}

		private void answer(OpenQuestion question, Optional<QuotaDecision> decision, long nowMillis) {
			QuotaInquiry inquiry = question.inquiry();
			if (decision.isEmpty()) {
				inquiry.onNoAnswer(question.id(), nowMillis);
				return;
			}
			List<QuotaInquiry> released = FleetQuotas.this.waiting.removeAll(inquiry.account().name());
			if (decision.get().isAdmitted()) {
				inquiry.onSpent(new QuotaCharge.Part(question.holder(), question.id(), question.units()), nowMillis);
			}
			else {
				inquiry.onRefused(question.holder(), question.id(), decision.get(), nowMillis);
			}
			released.stream()
				.filter(QuotaInquiry::isWaiting)
				.forEach((other) -> other.ask(orderHolders(other.account().name(), nowMillis), nowMillis));
		}

		@Override
		public void onSilence(QuotaInquiry inquiry, long nowMillis) {
			String account = inquiry.account().name();
			boolean isFirst = FleetQuotas.this.waiting.isFirst(inquiry);
			boolean anyWaited = FleetQuotas.this.waiting.isAnyWaiting(account);
			if (!isFirst
					&& (WaitingInquiries.hasExpired(inquiry, nowMillis) || !FleetQuotas.this.waiting.add(inquiry))) {
				inquiry.refuse(nowMillis);
			}
			else if (isFirst || !anyWaited) {
				FleetQuotas.this.peers.schedule(ASK_AGAIN_MILLIS,
						(laterMillis) -> askForFirstWaiting(account, laterMillis));
			}
		}

		private void askForFirstWaiting(String account, long nowMillis) {
			FleetQuotas.this.waiting.removeExpired(account, nowMillis).forEach((inquiry) -> inquiry.refuse(nowMillis));
			if (FleetQuotas.this.waiting.isAnyWaiting(account)) {
				QuotaInquiry first = FleetQuotas.this.waiting.first(account);
				if (first.isWaiting()) {
					first.ask(orderHolders(account, nowMillis), nowMillis);
				}
			}
		}

		@Override
		public void refund(ClientAccount account, QuotaCharge.Part part, long nowMillis) {
			if (part.holder().equals(FleetQuotas.this.self)) {
				FleetQuotas.this.limiter.refund(account, part.units(), nowMillis);
			}
			else {
				FleetQuotas.this.peers.send(part.holder().node(),
						new QuotaMessage.Refund(part.id(), account.name(), part.units()));
			}
		}

		@Override
		public void recordRefusal(QuotaInquiry inquiry, QuotaDecision refusal, long nowMillis) {
			if (inquiry.wasRefusedByAll()) {
				FleetQuotas.this.recentRefusals.put(inquiry.account().name(), new RecentRefusal(refusal, inquiry.cost(),
						nowMillis + Math.min(refusal.waitMillis(), MAX_REFUSAL_MILLIS)));
			}
		}

	}

}
