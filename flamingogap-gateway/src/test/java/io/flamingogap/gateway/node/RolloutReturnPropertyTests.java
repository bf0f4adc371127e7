package io.flamingogap.gateway.node;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.gateway.store.RecordCodec.RolloutOrder;
import io.flamingogap.gateway.store.RecordCodec.RolloutStatus;
import io.flamingogap.gateway.store.RecordCodec.RolloutStatus.State;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Property test of {@link RolloutController}: orders of one service, of which the last
 * ones are lost and written again when the store returns from earlier copies.
 */
class RolloutReturnPropertyTests {

	private static final int STEPS = 40;

	private static final long REWRITE_MILLIS = 10_000;

	private static final long WITHIN_MILLIS = 3_600_000;

	// Completed rollouts began anew, or earlier ones did, after a return of the store.
	@Property(tries = 5_000, seed = "20261207")
	void lastOrderThatIsKnownIsFollowedAndACompletedRolloutStaysComplete(
			@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Scenario scenario = new Scenario();
		scenario.controller.markStatusesLoaded();
		for (int step = 0; step < STEPS; step++) {
			scenario.step(step, random);
		}
		scenario.finish();
	}

	/**
	 * A store, its operator and a node.
	 */
	private static final class Scenario {

		private final RolloutController controller = new RolloutController(new ServerTable(),
				new FleetView(new NodeId("node-1", 1), 1_500), new SplittableRandom(1), 0.1);

		/** The records of the operator; {@code null} for those of other subjects. */
		private final List<@Nullable RolloutOrder> log = new ArrayList<>();

		private @Nullable RolloutOrder lastOrder;

		/** The last order that the node has read since it was given. */
		private @Nullable RolloutOrder followedOrder;

		private @Nullable RolloutOrder doneOrder;

		private boolean lastOrderLost;

		private int nextOffset;

		private long nowMillis;

		private long heldUntilMillis;

		private void finish() {
			writeAgain();
			while (this.nextOffset < this.log.size()) {
				read(this.nextOffset++);
			}
			this.nowMillis = Math.max(this.nowMillis, this.heldUntilMillis);
			this.controller.evaluate(this.nowMillis);
			this.followedOrder = this.lastOrder;
			assertThatTheLastOrderIsFollowed();
		}

		private void step(int step, SplittableRandom random) {
			this.nowMillis += random.nextInt(1_000);
			if (random.nextInt(4) == 0) {
				order(step);
			}
			if (random.nextInt(2) == 0) {
				this.log.add(null);
			}
			if (random.nextInt(6) == 0) {
				returnFromCopy(random.nextInt(4));
			}
			boolean allWrittenAgain = this.nowMillis >= this.heldUntilMillis;
			if (allWrittenAgain || random.nextInt(4) == 0) {
				writeAgain();
			}
			while (this.nextOffset < this.log.size() && (allWrittenAgain || random.nextInt(3) > 0)) {
				read(this.nextOffset++);
			}
			this.controller.evaluate(this.nowMillis);
			if (this.followedOrder != null && random.nextInt(3) == 0) {
				this.doneOrder = this.followedOrder;
				this.controller
					.recordPublishedStatus(new RolloutStatus("desk", this.followedOrder.target(), State.DONE));
			}
			assertThatTheLastOrderIsFollowed();
		}

		private void order(int step) {
			this.lastOrder = new RolloutOrder("desk", "v" + step, WITHIN_MILLIS);
			this.lastOrderLost = false;
			this.log.add(this.lastOrder);
			this.followedOrder = null;
		}

		private void returnFromCopy(int lostRecords) {
			List<@Nullable RolloutOrder> lost = this.log.subList(Math.max(0, this.log.size() - lostRecords),
					this.log.size());
			this.lastOrderLost |= this.lastOrder != null && lost.contains(this.lastOrder);
			lost.clear();
			this.heldUntilMillis = this.nowMillis + REWRITE_MILLIS;
			this.controller.forgetStoredRecords(this.heldUntilMillis);
			for (int offset = this.log.size() - 1; offset >= 0; offset--) {
				if (this.log.get(offset) != null) {
					read(offset);
					break;
				}
			}
			this.nextOffset = this.log.size();
		}

		private void writeAgain() {
			if (this.lastOrderLost && this.lastOrder != null) {
				this.lastOrderLost = false;
				this.log.add(this.lastOrder);
			}
		}

		private void read(int offset) {
			RolloutOrder order = this.log.get(offset);
			if (order == null) {
				return;
			}
			this.controller.applyOrder(order, offset, this.nowMillis);
			if (order.equals(this.lastOrder) && !isHeld(order)) {
				this.followedOrder = order;
			}
		}

		private boolean isHeld(RolloutOrder order) {
			return this.controller.unpublishedStatuses()
				.stream()
				.noneMatch((status) -> status.target().equals(order.target())) && !order.equals(this.doneOrder);
		}

		private void assertThatTheLastOrderIsFollowed() {
			if (this.followedOrder == null) {
				return;
			}
			// What was published is read first, so that each followed rollout is
			// unpublished.
			this.controller.recordPublishedStatus(new RolloutStatus("desk", "none", State.RUNNING));
			State expected = this.followedOrder.equals(this.doneOrder) ? State.DONE : State.RUNNING;
			assertThat(this.controller.unpublishedStatuses(),
					is(List.of(new RolloutStatus("desk", this.followedOrder.target(), expected))));
		}

	}

}
