package io.flamingogap.core.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Three nodes, a group that moves the duties at any time, a stream of claims and a cloud
 * that checks fencing tokens, while nodes freeze and answers are lost or late.
 */
class DutyTermPropertyTests {

	private static final long LEASE_MILLIS = 3_000;

	private static final long CONFIRM_MILLIS = 2_500;

	private static final int NODES = 3;

	@Property(tries = 10_000, seed = "20261204")
	void acceptedCallsFollowRisingTokensThatHaveOneHolderEach(@ForAll @LongRange(max = 10_000_000) long seed) {
		World world = new World(new SplittableRandom(seed));
		for (long now = 0; now < 30_000; now += 250) {
			world.step(now);
		}
		long highest = -1;
		Map<Long, Integer> holders = new HashMap<>();
		for (Call call : world.accepted) {
			assertThat(call.token, greaterThanOrEqualTo(highest));
			highest = call.token;
			holders.putIfAbsent(call.token, call.node);
			assertThat(holders.get(call.token), is(call.node));
		}
		assertThat(alternates(world.accepted), is(false));
	}

	/**
	 * Return whether a node acted again within a lease although another one acted since.
	 * @param accepted the calls that the cloud accepted, in order
	 * @return {@code true} if holders acted by turns
	 */
	private static boolean alternates(List<Call> accepted) {
		for (int last = 0; last < accepted.size(); last++) {
			boolean another = false;
			for (int i = last - 1; i >= 0; i--) {
				if (accepted.get(last).sentAtMillis - accepted.get(i).sentAtMillis >= LEASE_MILLIS) {
					break;
				}
				another |= accepted.get(i).node != accepted.get(last).node;
				if (another && accepted.get(i).node == accepted.get(last).node) {
					return true;
				}
			}
		}
		return false;
	}

	private record Call(int node, long token, long sentAtMillis, long arrivesAtMillis) {
	}

	private static final class World {

		private final SplittableRandom random;

		private final List<DutyTerm> terms = new ArrayList<>();

		private final long[] frozenUntilMillis = new long[NODES];

		private final OptionalLong[] listedEnd = new OptionalLong[NODES];

		private final List<Call> underWay = new ArrayList<>();

		private final List<Call> accepted = new ArrayList<>();

		private long streamEnd;

		private int holder;

		private World(SplittableRandom random) {
			this.random = random;
			for (int i = 0; i < NODES; i++) {
				this.terms.add(new DutyTerm(LEASE_MILLIS, CONFIRM_MILLIS));
				this.listedEnd[i] = OptionalLong.empty();
			}
		}

		private void step(long now) {
			if (this.random.nextInt(12) == 0) {
				this.holder = this.random.nextInt(NODES);
			}
			arrive(now);
			for (int node = 0; node < NODES; node++) {
				if (this.random.nextInt(40) == 0) {
					this.frozenUntilMillis[node] = now + this.random.nextInt(6_000);
				}
				if (now >= this.frozenUntilMillis[node]) {
					tick(node, now);
				}
			}
		}

		private void tick(int node, long now) {
			DutyTerm term = this.terms.get(node);
			boolean storeAnswers = this.random.nextInt(5) != 0;
			if (storeAnswers && this.random.nextInt(4) == 0) {
				term.recordMembership(this.holder == node, now);
			}
			if (term.shouldClaim(now) && storeAnswers) {
				claim(node, term, now);
			}
			OptionalLong token = term.validToken(now);
			if (token.isPresent()) {
				term.recordAction(now);
				boolean late = this.random.nextInt(6) == 0;
				this.underWay
					.add(new Call(node, token.getAsLong(), now, late ? now + this.random.nextInt(4_000) : now));
			}
		}

		/**
		 * List in one step and append in a later one, on the condition that nobody did so
		 * in between.
		 * @param node the node
		 * @param term its term
		 * @param now the present time
		 */
		private void claim(int node, DutyTerm term, long now) {
			if (this.listedEnd[node].isEmpty()) {
				this.listedEnd[node] = OptionalLong.of(this.streamEnd);
				return;
			}
			if (this.listedEnd[node].getAsLong() == this.streamEnd) {
				this.streamEnd++;
				if (this.random.nextInt(5) != 0) {
					term.recordClaim(this.streamEnd, now);
				}
			}
			this.listedEnd[node] = OptionalLong.empty();
		}

		private void arrive(long now) {
			for (Call call : List.copyOf(this.underWay)) {
				if (call.arrivesAtMillis > now) {
					continue;
				}
				this.underWay.remove(call);
				long highest = this.accepted.isEmpty() ? -1 : this.accepted.get(this.accepted.size() - 1).token;
				if (call.token >= highest) {
					this.accepted.add(call);
				}
				else if (this.random.nextInt(4) != 0) {
					this.terms.get(call.node).recordFenced(now);
				}
			}
		}

	}

}
