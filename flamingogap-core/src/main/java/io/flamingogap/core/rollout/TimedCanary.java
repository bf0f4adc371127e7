package io.flamingogap.core.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Rollout on a fixed schedule within a short time. The candidate first gets a small share
 * of the requests. It gets more of them, and the rollout completes, only while the
 * evidence doesn't make a regression more likely than not. Nodes with the same evidence
 * make the same decision.
 */
public final class TimedCanary {

	/** Fraction of the time up to which the candidate gets the exploration share. */
	private static final double EXPLORATION_END = 0.5;

	/** Fraction of the time from which the candidate gets all requests. */
	private static final double ALL_REQUESTS_START = 0.65;

	/** Fraction of the time from which the rollout may complete. */
	private static final double EARLIEST_COMPLETION = 0.85;

	/**
	 * Fraction of the time from which a rollout that may not complete is reverted.
	 */
	private static final double LATEST_COMPLETION = 0.95;

	/** Share of the candidate after the exploration, before it gets all requests. */
	private static final double SECOND_STEP_SHARE = 0.3;

	private final Map<String, VersionComparison> byRoute = new TreeMap<>();

	private final VersionComparison all = new VersionComparison();

	private final double explorationShare;

	/**
	 * Create a canary without evidence.
	 * @param explorationShare the candidate's share of requests at first, from 0 to 1
	 */
	public TimedCanary(double explorationShare) {
		this.explorationShare = explorationShare;
	}

	/**
	 * Add evidence.
	 * @param arm the version that the requests were sent to
	 * @param route the name of the route
	 * @param tally the counts of one node
	 */
	public void add(Arm arm, String route, Tally tally) {
		this.all.add(0, arm, tally);
		this.byRoute.computeIfAbsent(route, (name) -> new VersionComparison()).add(0, arm, tally);
	}

	/**
	 * Test whether the candidate is worse, on all routes together and on each route
	 * alone.
	 * @return the reason with the counts, or empty if the evidence shows no regression
	 */
	public Optional<String> findRegression() {
		return findRegression(SequentialTest.BAD_THRESHOLD, SequentialTest.BAD_THRESHOLD);
	}

	private Optional<String> findRegression(double threshold, double routeThreshold) {
		Optional<String> found = this.all.findRegression(threshold)
			.map((outcome) -> outcome + " on all routes together: " + this.all);
		for (Map.Entry<String, VersionComparison> route : this.byRoute.entrySet()) {
			found = found.or(() -> route.getValue()
				.findRegression(routeThreshold)
				.map((outcome) -> outcome + " on " + route.getKey() + ": " + route.getValue()));
		}
		return found;
	}

	/**
	 * Test whether the candidate may be worse, with thresholds at which the evidence is
	 * no proof. The more routes are tested, the higher is the one for a single route.
	 * @return the reason with the counts, or empty if the candidate seems to be as good
	 */
	private Optional<String> findSuspicion() {
		return findRegression(SequentialTest.DEADLINE_THRESHOLD,
				SequentialTest.DEADLINE_THRESHOLD + Math.log(Math.max(1, this.byRoute.size())));
	}

	/**
	 * Test whether the rollout has to be reverted because its time is over.
	 * @param elapsedFraction the fraction of the time that has passed, from 0 to 1
	 * @param candidateAvailable whether any server of the candidate takes requests
	 * @return the reason, or empty if the rollout may go on or complete
	 */
	public Optional<String> findMissedDeadline(double elapsedFraction, boolean candidateAvailable) {
		if (elapsedFraction < LATEST_COMPLETION) {
			return Optional.empty();
		}
		return candidateAvailable ? findSuspicion().map((reason) -> "probably " + reason)
				: Optional.of("no server of the new version takes requests");
	}

	/**
	 * Return the share of requests for the candidate.
	 * @param elapsedFraction the fraction of the time that has passed, from 0 to 1
	 * @return the share, from 0 to 1
	 */
	public double candidateShare(double elapsedFraction) {
		if (elapsedFraction < EXPLORATION_END || findSuspicion().isPresent()) {
			return this.explorationShare;
		}
		return (elapsedFraction < ALL_REQUESTS_START) ? SECOND_STEP_SHARE : 1;
	}

	/**
	 * Return whether the rollout may complete.
	 * @param elapsedFraction the fraction of the time that has passed, from 0 to 1
	 * @return {@code true} if the current version may stop
	 */
	public boolean mayComplete(double elapsedFraction) {
		return elapsedFraction >= EARLIEST_COMPLETION && findSuspicion().isEmpty();
	}

	@Override
	public String toString() {
		return this.all.toString();
	}

}
