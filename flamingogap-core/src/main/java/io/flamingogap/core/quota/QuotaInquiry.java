package io.flamingogap.core.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.flamingogap.core.serving.ClientAccount;

/**
 * Inquiry for the units of one request. Asks the holders one after the other to spend all
 * units. If each of them has too few but together they have enough, asks each for a part.
 * <p>
 * Not thread-safe.
 */
final class QuotaInquiry {

	/** Delay before a caller may retry if no holder answered. */
	private static final long NO_HOLDER_RETRY_MILLIS = 300;

	private final ClientAccount account;

	private final long cost;

	private final List<QuotaMember> unasked = new ArrayList<>();

	private final Holders holders;

	private final FleetQuotas.DecisionListener listener;

	private final long startedAtMillis;

	private final Map<QuotaMember, QuotaDecision> refusals = new LinkedHashMap<>();

	private final List<QuotaCharge.Part> parts = new ArrayList<>();

	private Phase phase = Phase.WAITING;

	private int openParts;

	private long currentId;

	private long lastWholeId;

	private boolean anyUnanswered;

	/**
	 * Create an inquiry that hasn't asked any holder yet.
	 * @param account the account of the caller
	 * @param cost the units that the request uses
	 * @param holders sends the questions
	 * @param listener receives the decision
	 * @param startedAtMillis the current time of a monotonic clock, in milliseconds
	 */
	QuotaInquiry(ClientAccount account, long cost, Holders holders, FleetQuotas.DecisionListener listener,
			long startedAtMillis) {
		this.account = account;
		this.cost = cost;
		this.holders = holders;
		this.listener = listener;
		this.startedAtMillis = startedAtMillis;
	}

	ClientAccount account() {
		return this.account;
	}

	long cost() {
		return this.cost;
	}

	long startedAtMillis() {
		return this.startedAtMillis;
	}

	/**
	 * Return whether every holder refused the request.
	 * @return {@code false} if some holder did not answer, or can't spend its share yet
	 */
	boolean wasRefusedByAll() {
		return !this.anyUnanswered && !this.refusals.isEmpty();
	}

	/**
	 * Return whether the inquiry neither asks holders nor is decided.
	 * @return {@code true} before the first question, and after no holder answered
	 */
	boolean isWaiting() {
		return this.phase == Phase.WAITING;
	}

	/**
	 * Ask the holders, one after the other. Can be repeated if none of them answered.
	 * @param holdersInOrder the holders of the quota, the one to ask first at the start
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void ask(List<QuotaMember> holdersInOrder, long nowMillis) {
		this.phase = Phase.WHOLE;
		this.anyUnanswered = false;
		this.refusals.clear();
		this.unasked.addAll(holdersInOrder);
		askNext(nowMillis);
	}

	private void askNext(long nowMillis) {
		if (this.unasked.isEmpty()) {
			askForParts(nowMillis);
			return;
		}
		this.currentId = this.holders.nextId();
		this.holders.ask(this, this.unasked.remove(0), this.currentId, this.cost, nowMillis);
	}

	/**
	 * Record that a holder spent units. They are returned if the request is decided.
	 * @param part the units
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void onSpent(QuotaCharge.Part part, long nowMillis) {
		if (this.phase == Phase.DECIDED) {
			this.holders.refund(this.account, part, nowMillis);
			return;
		}
		this.parts.add(part);
		if (part.units() >= this.cost) {
			admit();
		}
		else {
			onPartAnswered(nowMillis);
		}
	}

	/**
	 * Record that a holder refused to spend units.
	 * @param holder the holder
	 * @param id the id of the question
	 * @param refusal the figures behind it
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void onRefused(QuotaMember holder, long id, QuotaDecision refusal, long nowMillis) {
		this.refusals.put(holder, refusal);
		onNotSpent(id, nowMillis);
	}

	/**
	 * Record that a holder did not answer, or answered that it can't spend any units.
	 * @param id the id of the question
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void onNoAnswer(long id, long nowMillis) {
		this.anyUnanswered = true;
		onNotSpent(id, nowMillis);
	}

	private void onNotSpent(long id, long nowMillis) {
		if (this.phase == Phase.WHOLE && id == this.currentId) {
			askNext(nowMillis);
		}
		else if (this.phase == Phase.PARTS && id > this.lastWholeId) {
			onPartAnswered(nowMillis);
		}
	}

	private void askForParts(long nowMillis) {
		if (this.refusals.isEmpty()) {
			this.phase = Phase.WAITING;
			this.holders.onSilence(this, nowMillis);
			return;
		}
		long available = this.refusals.values().stream().mapToLong(QuotaInquiry::spendableUnits).sum();
		if (available < QuotaBucket.requiredUnits(this.cost, this.account.quota().burst())
				|| this.refusals.size() < 2) {
			refuse(nowMillis);
			return;
		}
		this.phase = Phase.PARTS;
		this.lastWholeId = this.currentId;
		Map<QuotaMember, Long> shares = split(available);
		this.openParts = shares.size();
		shares.forEach((holder, units) -> this.holders.ask(this, holder, this.holders.nextId(), units, nowMillis));
	}

	private static long spendableUnits(QuotaDecision refusal) {
		return Math.max(0, refusal.availableUnits());
	}

	private Map<QuotaMember, Long> split(long available) {
		Map<QuotaMember, Long> shares = new LinkedHashMap<>();
		long left = this.cost;
		for (Map.Entry<QuotaMember, QuotaDecision> entry : this.refusals.entrySet()) {
			long units = Math.min(left,
					(long) Math.ceil((double) this.cost * spendableUnits(entry.getValue()) / available));
			if (units > 0) {
				shares.put(entry.getKey(), units);
				left -= units;
			}
		}
		return shares;
	}

	private void onPartAnswered(long nowMillis) {
		this.openParts--;
		if (this.openParts > 0) {
			return;
		}
		if (this.parts.stream().mapToLong(QuotaCharge.Part::units).sum() >= this.cost) {
			admit();
		}
		else {
			this.parts.forEach((part) -> this.holders.refund(this.account, part, nowMillis));
			refuse(nowMillis);
		}
	}

	private void admit() {
		this.phase = Phase.DECIDED;
		this.listener.onDecided(new QuotaDecision(0, 0, 0, this.parts.get(0).holder().node()),
				new QuotaCharge(this.parts));
	}

	/**
	 * Refuse the request.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void refuse(long nowMillis) {
		this.phase = Phase.DECIDED;
		QuotaDecision refusal = this.refusals.values()
			.stream()
			.min((first, second) -> Long.compare(first.waitMillis(), second.waitMillis()))
			.orElse(new QuotaDecision(NO_HOLDER_RETRY_MILLIS, this.cost, 0, ""));
		this.holders.recordRefusal(this, refusal, nowMillis);
		this.listener.onDecided(refusal, QuotaCharge.NONE);
	}

	private enum Phase {

		/** The holders are asked later. */
		WAITING,

		/** One holder at a time is asked for all units. */
		WHOLE,

		/** All holders were asked for a part of the units. */
		PARTS,

		/** The request is admitted or refused. */
		DECIDED

	}

	/**
	 * Sends the questions of inquiries.
	 */
	interface Holders {

		/**
		 * Return the id of the next question.
		 * @return a number that rises from question to question
		 */
		long nextId();

		/**
		 * Ask a holder to spend units. The answer is passed to the inquiry, possibly
		 * before this method returns.
		 * @param inquiry the inquiry
		 * @param holder the holder, which may be this node
		 * @param id the id of the question
		 * @param units the units
		 * @param nowMillis the current time of a monotonic clock, in milliseconds
		 */
		void ask(QuotaInquiry inquiry, QuotaMember holder, long id, long units, long nowMillis);

		/**
		 * Record that no holder answered.
		 * @param inquiry the inquiry, which is refused or asks again later
		 * @param nowMillis the current time of a monotonic clock, in milliseconds
		 */
		void onSilence(QuotaInquiry inquiry, long nowMillis);

		/**
		 * Return units to the holder that spent them.
		 * @param account the account of the caller
		 * @param part the units
		 * @param nowMillis the current time of a monotonic clock, in milliseconds
		 */
		void refund(ClientAccount account, QuotaCharge.Part part, long nowMillis);

		/**
		 * Record that a request was refused.
		 * @param inquiry the inquiry
		 * @param refusal the refusal
		 * @param nowMillis the current time of a monotonic clock, in milliseconds
		 */
		void recordRefusal(QuotaInquiry inquiry, QuotaDecision refusal, long nowMillis);

	}

}
