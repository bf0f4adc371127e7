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
 * Property test that simulates three nodes with a {@link DutyTerm} each, a group that
 * reassigns the duties at any time, a stream of claims and a cloud that checks fencing
 * tokens. Nodes freeze, answers of the store and the cloud are lost, and calls to the
 * cloud arrive late.
 */
class DutyTermPropertyTests {

	private static final long LEASE_MILLIS = 3_000;

	private static final int TICK_MILLIS = 250;

	/** The users' rules don't count calls that arrive so soon after a freeze. */
	private static final long THAW_SLACK_MILLIS = 300;

	private static final int NODES = 3;

	@Property(tries = 10_000, seed = "20261204")
	void acceptedCallsFollowRisingTokensThatHaveOneHolderEach(@ForAll @LongRange(max = 10_000_000) long seed) {
		assertOneHolderAtATime(run(seed, Fencing.CHECKED_BY_CLOUD));
	}

	/**
	 * The cloud accepts every call that arrives. A call that its sender ended does not
	 * arrive, and one that arrives during or right after a freeze of its sender isn't
	 * counted.
	 */
	@Property(tries = 10_000, seed = "20261204")
	void holdersAloneKeepTheOrderIfTheCloudChecksNothing(@ForAll @LongRange(max = 10_000_000) long seed) {
		assertOneHolderAtATime(run(seed, Fencing.KEPT_BY_HOLDERS));
	}

	private static List<Call> run(long seed, Fencing fencing) {
		Simulation simulation = new Simulation(new SplittableRandom(seed), fencing);
		for (long now = 0; now < 30_000; now += TICK_MILLIS) {
			simulation.step(now);
		}
		return simulation.accepted;
	}

	private static void assertOneHolderAtATime(List<Call> accepted) {
		long highestToken = -1;
		Map<Long, Integer> holderByToken = new HashMap<>();
		for (Call call : accepted) {
			assertThat(call.token, greaterThanOrEqualTo(highestToken));
			highestToken = call.token;
			holderByToken.putIfAbsent(call.token, call.node);
			assertThat(holderByToken.get(call.token), is(call.node));
		}
		assertThat(hasAlternatingHolders(accepted), is(false));
	}

	/**
	 * Return whether, within a lease, a node acted, another one acted, and the first one
	 * acted again.
	 * @param accepted the calls that the cloud accepted, in this order
	 * @return {@code true} if nodes acted alternately
	 */
	private static boolean hasAlternatingHolders(List<Call> accepted) {
		for (int last = 0; last < accepted.size(); last++) {
			boolean anotherActed = false;
			for (int i = last - 1; i >= 0; i--) {
				if (accepted.get(last).sentAtMillis - accepted.get(i).sentAtMillis >= LEASE_MILLIS) {
					break;
				}
				anotherActed |= accepted.get(i).node != accepted.get(last).node;
				if (anotherActed && accepted.get(i).node == accepted.get(last).node) {
					return true;
				}
			}
		}
		return false;
	}

	private record Call(int node, long token, long sentAtMillis, long arrivesAtMillis) {
	}

	private static final class Simulation {

		private final SplittableRandom random;

		private final List<DutyTerm> terms = new ArrayList<>();

		private final long[] frozenUntilMillis = new long[NODES];

		private final OptionalLong[] observedStreamEnd = new OptionalLong[NODES];

		private final List<Call> inFlight = new ArrayList<>();

		private final List<Call> accepted = new ArrayList<>();

		private final Fencing fencing;

		private long streamEnd;

		private int holder;

		private Simulation(SplittableRandom random, Fencing fencing) {
			this.random = random;
			this.fencing = fencing;
			for (int i = 0; i < NODES; i++) {
				this.terms.add(new DutyTerm(LEASE_MILLIS, fencing));
				this.observedStreamEnd[i] = OptionalLong.empty();
			}
		}

		private void step(long now) {
			if (this.random.nextInt(12) == 0) {
				this.holder = this.random.nextInt(NODES);
			}
			deliverCalls(now);
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
				term.recordHolderStatus(this.holder == node, now);
			}
			if (term.mustEndCalls(now)) {
				this.inFlight.removeIf((call) -> call.node == node);
			}
			if (term.shouldClaim(now) && storeAnswers) {
				claim(node, term, now);
			}
			OptionalLong token = term.validToken(now);
			if (token.isPresent()) {
				term.recordAction(now);
				boolean late = this.random.nextInt(6) == 0;
				this.inFlight
					.add(new Call(node, token.getAsLong(), now, late ? now + this.random.nextInt(4_000) : now));
			}
		}

		/**
		 * Read the end of the stream in one step and append a claim in a later one, which
		 * succeeds only if no other claim was appended in between.
		 * @param node the index of the node
		 * @param term the term of the node
		 * @param now the simulated time in milliseconds
		 */
		private void claim(int node, DutyTerm term, long now) {
			if (this.observedStreamEnd[node].isEmpty()) {
				this.observedStreamEnd[node] = OptionalLong.of(this.streamEnd);
				return;
			}
			if (this.observedStreamEnd[node].getAsLong() == this.streamEnd) {
				this.streamEnd++;
				if (this.random.nextInt(5) != 0) {
					term.recordClaim(this.streamEnd, this.streamEnd > 1, now);
				}
			}
			this.observedStreamEnd[node] = OptionalLong.empty();
		}

		private void deliverCalls(long now) {
			for (Call call : List.copyOf(this.inFlight)) {
				if (call.arrivesAtMillis > now) {
					continue;
				}
				this.inFlight.remove(call);
				if (this.fencing == Fencing.KEPT_BY_HOLDERS) {
					if (now >= this.frozenUntilMillis[call.node] + THAW_SLACK_MILLIS) {
						this.accepted.add(call);
					}
					continue;
				}
				long highestToken = this.accepted.isEmpty() ? -1 : this.accepted.get(this.accepted.size() - 1).token;
				if (call.token >= highestToken) {
					this.accepted.add(call);
				}
				else if (this.random.nextInt(4) != 0) {
					this.terms.get(call.node).recordFenced(now);
				}
			}
		}

	}

}
