package io.flamingogap.gateway.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.servers.EvacuatedZones;
import io.flamingogap.core.servers.PlacementRules;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.core.serving.ListenerLimits;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.peers.ChannelWithFrozenTime;
import io.flamingogap.gateway.relay.RelayMetrics;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.store.UnnumberedReturns;
import io.flamingogap.gateway.time.NodeClock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link OperatorRecordWatcher}: what stays in force when the store returns from
 * an earlier copy of itself.
 */
class OperatorRecordWatcherTests {

	private static final long REWRITE_MILLIS = 10_000;

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private final ScriptedStore store = new ScriptedStore();

	private final ConfigHolder config = new ConfigHolder();

	private final EvacuatedZones evacuatedZones = new EvacuatedZones(Set.of("z1"));

	private final RolloutController rollouts = new RolloutController(new ServerTable(),
			new FleetView(new NodeId("node-1", 1), 1_500), new SplittableRandom(1), 0.1);

	private long nowMillis;

	@BeforeEach
	void followToOffset50() {
		this.store.answerNextListing(page(1, 50, configuration(9, 48), evacuation(49), rollout("v2", 47)));
		NodeClock clock = new NodeClock(() -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis), () -> this.nowMillis);
		new OperatorRecordWatcher(this.channel.eventLoop(), this.store, new TextCodec(), this.config, this.rollouts,
				this.evacuatedZones, new PlacementRules(Map.of("z1", "r1"), this.evacuatedZones), new RelayMetrics(),
				clock, () -> {
				}, new UnnumberedReturns())
			.start();
		this.channel.runPendingTasks();
	}

	private static RecordStore.Page page(long timeline, long endOffset, StoredRecord... records) {
		return new RecordStore.Page(List.of(records), false, endOffset, timeline);
	}

	private static StoredRecord configuration(long version, long offset) {
		return new StoredRecord("config", Optional.of(new byte[] { (byte) version }), offset);
	}

	private static StoredRecord evacuation(long offset) {
		return new StoredRecord("evacuation", Optional.of(new byte[1]), offset);
	}

	private static StoredRecord rollout(String target, long offset) {
		return new StoredRecord("rollout", Optional.of(target.getBytes()), offset);
	}

	private void returnFromCopy(RecordStore.Page page) {
		this.store.answerNextListing(page);
		this.store.pendingRead().complete(RecordStore.Batch.fromStore(List.of(), 50, page.timeline()));
		this.channel.runPendingTasks();
	}

	private void read(StoredRecord entry) {
		this.store.pendingRead().complete(RecordStore.Batch.fromStore(List.of(entry), entry.offset() + 1, 2));
		this.channel.runPendingTasks();
	}

	private void passTime(long millis) {
		this.nowMillis += millis;
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private long version() {
		return this.config.current().orElseThrow().version();
	}

	@Test
	void configurationOfACopyDoesNotReplaceANewerOne() {
		returnFromCopy(page(2, 40, configuration(7, 39)));
		assertThat(version(), is(9L));
		read(configuration(9, 40));
		assertThat(version(), is(9L));
		read(configuration(10, 41));
		assertThat(version(), is(10L));
	}

	// Servers of an evacuated zone got requests after the store had lost the order.
	@Test
	void evacuationThatACopyLacksIsTakenBackOnlyIfItIsNotWrittenAgain() {
		returnFromCopy(page(2, 40, configuration(7, 39)));
		passTime(REWRITE_MILLIS - 1);
		assertThat(this.evacuatedZones.zones(), is(Set.of("z1")));
		passTime(1);
		assertThat(this.evacuatedZones.zones(), is(Set.of()));
	}

	@Test
	void evacuationThatIsWrittenAgainStays() {
		returnFromCopy(page(2, 40, configuration(7, 39)));
		read(evacuation(40));
		passTime(REWRITE_MILLIS);
		assertThat(this.evacuatedZones.zones(), is(Set.of("z1")));
	}

	// Otherwise a rollout is ignored until its offset has passed that of the order
	// before.
	@Test
	void laterRolloutOrderCountsAtALowerOffset() {
		returnFromCopy(page(2, 40, configuration(9, 39), rollout("v2", 38)));
		read(rollout("v3", 40));
		this.rollouts.markStatusesLoaded();
		assertThat(this.rollouts.unpublishedStatuses(),
				is(List.of(new RecordCodec.RolloutStatus("desk", "v3", RecordCodec.RolloutStatus.State.RUNNING))));
	}

	/**
	 * Codec of records whose values are one number or a name.
	 */
	private static final class TextCodec implements RecordCodec {

		@Override
		public OperatorSubject subjectOf(String key) {
			return switch (key) {
				case "config" -> OperatorSubject.CONFIG;
				case "evacuation" -> OperatorSubject.EVACUATION;
				case "rollout" -> OperatorSubject.ROLLOUT;
				default -> OperatorSubject.OTHER;
			};
		}

		@Override
		public Either<String, ServingConfig> decodeConfig(byte[] value) {
			return Either.right(ServingConfig.of(value[0], List.of(), List.of(), List.of(), ListenerLimits.DEFAULT));
		}

		@Override
		public Either<String, ServerRegistration> decodeServer(String id, byte[] value) {
			return Either.left("no server was expected");
		}

		@Override
		public Either<String, RolloutOrder> decodeRollout(byte[] value) {
			return Either.right(new RolloutOrder("desk", new String(value), 30_000));
		}

		@Override
		public String evacuatedZoneOf(String key) {
			return "z1";
		}

		@Override
		public StoredRecord encodeStatus(RolloutStatus status) {
			throw new IllegalStateException("no status was expected");
		}

		@Override
		public Either<String, RolloutStatus> decodeStatus(StoredRecord entry) {
			return Either.left("no status was expected");
		}

	}

}
