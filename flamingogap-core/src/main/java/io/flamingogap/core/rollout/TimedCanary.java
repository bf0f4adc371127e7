package io.flamingogap.core.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A rollout that has to end within a short time: a small share explores the candidate,
 * then it takes over unless the evidence speaks against it. Nodes with the same evidence
 * decide alike.
 */
public final class TimedCanary {

	/** The part of the time in which a small share explores the candidate. */
	private static final double EXPLORE_UNTIL = 0.5;

	/** The part of the time after which all requests go to the candidate. */
	private static final double MOVE_ALL_FROM = 0.65;

	/** The part of the time after which the old version may stop. */
	private static final double DONE_FROM = 0.85;

	/** The share between exploration and the whole move. */
	private static final double MIDDLE_SHARE = 0.3;

	private final Map<String, Comparison> byRoute = new TreeMap<>();

	private final Comparison all = new Comparison();

	private final double exploredShare;

	/**
	 * Create a trial without evidence.
	 * @param exploredShare the share of requests that explores the candidate
	 */
	public TimedCanary(double exploredShare) {
		this.exploredShare = exploredShare;
	}

	/**
	 * Add evidence.
	 * @param arm the version
	 * @param route the route
	 * @param tally the counts of one node
	 */
	public void add(Arm arm, String route, Tally tally) {
		this.all.add(0, arm, tally);
		this.byRoute.computeIfAbsent(route, (name) -> new Comparison()).add(0, arm, tally);
	}

	/**
	 * Look for evidence that the candidate is bad, on all routes together and on each.
	 * @return what is bad, if anything is
	 */
	public Optional<String> findRegression() {
		Optional<String> found = this.all.findBadness(SequentialTest.BAD_THRESHOLD)
			.map((what) -> what + " in all: " + this.all);
		for (Map.Entry<String, Comparison> route : this.byRoute.entrySet()) {
			found = found.or(() -> route.getValue()
				.findBadness(SequentialTest.BAD_THRESHOLD)
				.map((what) -> what + " on " + route.getKey() + ": " + route.getValue()));
		}
		return found;
	}

	/**
	 * Return the share of requests for the candidate.
	 * @param part the part of the time that has passed
	 * @return the share, from 0 to 1
	 */
	public double candidateShare(double part) {
		if (part < EXPLORE_UNTIL) {
			return this.exploredShare;
		}
		return (part < MOVE_ALL_FROM) ? MIDDLE_SHARE : 1;
	}

	/**
	 * Return whether the move is complete if nothing speaks against the candidate.
	 * @param part the part of the time that has passed
	 * @return {@code true} if the old version may stop
	 */
	public boolean mayComplete(double part) {
		return part >= DONE_FROM;
	}

	@Override
	public String toString() {
		return this.all.toString();
	}

}
