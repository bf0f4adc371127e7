package io.flamingogap.gateway.node;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.RequestKind;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.core.serving.WeightedService;
import io.flamingogap.gateway.store.RecordCodec.RolloutOrder;
import io.flamingogap.gateway.store.RecordCodec.RolloutStatus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link RolloutController}: which node ends a rollout.
 */
class RolloutControllerTests {

	private static final long WITHIN_MILLIS = 10_000;

	private static final RouteRule ROUTE = new RouteRule("lookup", "desk.example", "/look/", RequestKind.IDEMPOTENT,
			1_500, 200, 0, List.of(new WeightedService("desk", 1)), 2, false, false, false);

	private final ServerTable servers = new ServerTable();

	private final RolloutController controller = new RolloutController(this.servers,
			new FleetView(new NodeId("node-1", 1), 1_500), new SplittableRandom(1), 0.1);

	private static RolloutStatus status(RolloutStatus.State state) {
		return new RolloutStatus("desk", "v2", state);
	}

	private KnownServer register(String id, String version) {
		this.servers.register(
				new ServerRegistration(id, "desk", new Address("10.0.0.1", 80), "z1", version, 8, false, false, 1, 1),
				this.servers.size());
		return this.servers.find(id).orElseThrow();
	}

	private ServerRegistration registration(String id) {
		return this.servers.find(id).orElseThrow().registration();
	}

	@BeforeEach
	void orderRollout() {
		register("old", "v1");
		register("new", "v2");
		this.controller.applyOrder(new RolloutOrder("desk", "v2", WITHIN_MILLIS), 1, 0);
		this.controller.markStatusesLoaded();
	}

	// Some nodes completed a rollout that others had reverted.
	@Test
	void onlyThePublishedStatusCompletesARollout() {
		this.controller.evaluate(9_000);
		assertThat(this.controller.hasRunningRollout(), is(true));
		assertThat(this.controller.unpublishedStatuses(), is(List.of(status(RolloutStatus.State.DONE))));
		this.controller.recordPublishedStatus(status(RolloutStatus.State.DONE));
		assertThat(this.controller.hasRunningRollout(), is(false));
		assertThat(this.controller.unpublishedStatuses(), is(List.of()));
	}

	// A version that answered several times slower was judged by the few answers that it
	// had given.
	@Test
	void dispatchesWithoutAnAnswerCountAsSlowOnceTheyAreLate() {
		for (int i = 0; i < 200; i++) {
			this.controller.observe(registration("old"), ROUTE, 1_000).onAnswer((i % 10 == 0) ? 1_400 : 1_050);
		}
		for (int i = 0; i < 20; i++) {
			this.controller.observe(registration("new"), ROUTE, 1_000);
		}
		this.controller.evaluate(2_000);
		assertThat(this.controller.unpublishedStatuses(), is(List.of(status(RolloutStatus.State.REVERTED))));
	}

	@Test
	void discardedDispatchesCountForNothing() {
		for (int i = 0; i < 20; i++) {
			this.controller.observe(registration("new"), ROUTE, 1_000).discard();
		}
		this.controller.evaluate(2_000);
		assertThat(this.controller.unpublishedStatuses(), is(List.of(status(RolloutStatus.State.RUNNING))));
	}

	@Test
	void publishedRevertEndsARolloutThatMayComplete() {
		this.controller.evaluate(9_000);
		this.controller.recordPublishedStatus(status(RolloutStatus.State.REVERTED));
		assertThat(this.controller.versionFilter("desk", ROUTE).test(this.servers.find("new").orElseThrow()),
				is(false));
	}

	// After a rollout was completed, the servers of the old version stop at once.
	@Test
	void publishedCompletionReplacesARevertByThisNodeAlone() {
		for (int i = 0; i < 30; i++) {
			this.controller.observe(registration("new"), ROUTE, 0).onFailure(10);
		}
		this.controller.evaluate(2_000);
		assertThat(this.controller.versionFilter("desk", ROUTE).test(this.servers.find("new").orElseThrow()),
				is(false));
		this.controller.recordPublishedStatus(status(RolloutStatus.State.DONE));
		assertThat(this.controller.versionFilter("desk", ROUTE).test(this.servers.find("new").orElseThrow()), is(true));
		this.controller.recordPublishedStatus(status(RolloutStatus.State.REVERTED));
		assertThat(this.controller.versionFilter("desk", ROUTE).test(this.servers.find("new").orElseThrow()), is(true));
	}

	// Otherwise an order that an operator gives again after a revert does nothing.
	@Test
	void sameOrderBeginsTheRolloutAnewIfTheStoreHasNotReturned() {
		this.controller.recordPublishedStatus(status(RolloutStatus.State.REVERTED));
		assertThat(this.controller.hasRunningRollout(), is(false));
		this.controller.applyOrder(new RolloutOrder("desk", "v2", WITHIN_MILLIS), 2, 100);
		assertThat(this.controller.hasRunningRollout(), is(true));
	}

	@Nested
	class Returns {

		private static final long HELD_UNTIL_MILLIS = 20_000;

		private final RolloutController controller = RolloutControllerTests.this.controller;

		private void order(String target, long offset, long nowMillis) {
			this.controller.applyOrder(new RolloutOrder("desk", target, WITHIN_MILLIS), offset, nowMillis);
		}

		private RolloutStatus runningStatus(String target) {
			return new RolloutStatus("desk", target, RolloutStatus.State.RUNNING);
		}

		@BeforeEach
		void completeRolloutOrderedAtOffset50() {
			order("v1", 40, 0);
			order("v2", 50, 0);
			this.controller.recordPublishedStatus(status(RolloutStatus.State.DONE));
			assertThat(this.controller.unpublishedStatuses(), is(List.of()));
			this.controller.forgetStoredRecords(HELD_UNTIL_MILLIS);
		}

		// A service that had been moved to a new version went back to the old one, whose
		// servers had stopped, while its order was being written again.
		@Test
		void orderThatIsWrittenAgainDoesNotBeginTheRolloutAnew() {
			order("v2", 45, 10_000);
			assertThat(this.controller.hasRunningRollout(), is(false));
			order("v2", 60, 11_000);
			assertThat(this.controller.hasRunningRollout(), is(false));
		}

		@Test
		void orderThatIsWrittenAgainLateDoesNotBeginTheRolloutAnew() {
			order("v2", 45, HELD_UNTIL_MILLIS + 1);
			assertThat(this.controller.hasRunningRollout(), is(false));
		}

		@Test
		void olderOrderOfTheCopyDoesNotReplaceANewerOne() {
			order("v1", 40, 10_000);
			order("v2", 45, 11_000);
			this.controller.evaluate(HELD_UNTIL_MILLIS);
			assertThat(this.controller.hasRunningRollout(), is(false));
			assertThat(this.controller.unpublishedStatuses(), is(List.of(status(RolloutStatus.State.DONE))));
		}

		@Test
		void laterOrderCountsAtALowerOffset() {
			order("v2", 41, 10_000);
			order("v3", 42, 11_000);
			assertThat(this.controller.unpublishedStatuses(), is(List.of(runningStatus("v3"))));
		}

		@Test
		void orderThatOnlyTheReturnedStoreHasCountsOnceOthersHadTimeToBeWrittenAgain() {
			order("v1", 40, 10_000);
			order("v3", 41, 11_000);
			this.controller.evaluate(HELD_UNTIL_MILLIS - 1);
			assertThat(this.controller.hasRunningRollout(), is(false));
			this.controller.evaluate(HELD_UNTIL_MILLIS);
			assertThat(this.controller.unpublishedStatuses(), is(List.of(runningStatus("v3"))));
		}

		// Otherwise orders wait for the next evaluation long after the return.
		@Test
		void otherOrderCountsAtOnceAfterTheTime() {
			order("v3", 41, HELD_UNTIL_MILLIS);
			assertThat(this.controller.unpublishedStatuses(), is(List.of(runningStatus("v3"))));
		}

		// Otherwise an order that is held from one copy begins though the next one lacks
		// it.
		@Test
		void orderThatWasHeldIsForgottenWhenTheStoreReturnsAgain() {
			order("v1", 40, 10_000);
			this.controller.forgetStoredRecords(2 * HELD_UNTIL_MILLIS);
			this.controller.evaluate(2 * HELD_UNTIL_MILLIS);
			assertThat(this.controller.hasRunningRollout(), is(false));
		}

		// Otherwise an order that was held is replaced by an older one that is listed
		// again.
		@Test
		void olderOrderDoesNotReplaceOneThatWasHeld() {
			order("v3", 41, 11_000);
			this.controller.evaluate(HELD_UNTIL_MILLIS);
			order("v1", 40, HELD_UNTIL_MILLIS + 1);
			assertThat(this.controller.unpublishedStatuses(), is(List.of(runningStatus("v3"))));
		}

		// Otherwise an order with more time for the same version is ignored.
		@Test
		void orderWithAnotherTimeIsALaterOne() {
			order("v2", 45, 10_000);
			this.controller.applyOrder(new RolloutOrder("desk", "v2", 2 * WITHIN_MILLIS), 46, 11_000);
			assertThat(this.controller.hasRunningRollout(), is(true));
		}

		// Operators never learnt that a rollout was complete, because the status was
		// lost.
		@Test
		void statusIsPublishedAgain() {
			assertThat(this.controller.unpublishedStatuses(), is(List.of(status(RolloutStatus.State.DONE))));
		}

		@Test
		void olderStatusOfTheCopyChangesNothing() {
			this.controller.recordPublishedStatus(status(RolloutStatus.State.RUNNING));
			this.controller.recordPublishedStatus(status(RolloutStatus.State.REVERTED));
			assertThat(this.controller.hasRunningRollout(), is(false));
			assertThat(this.controller.unpublishedStatuses(), is(List.of(status(RolloutStatus.State.DONE))));
		}

	}

}
