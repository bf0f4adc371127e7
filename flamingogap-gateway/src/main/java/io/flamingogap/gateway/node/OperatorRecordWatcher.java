package io.flamingogap.gateway.node;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.servers.EvacuatedZones;
import io.flamingogap.core.servers.PlacementRules;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.relay.RelayMetrics;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordFollower;
import io.flamingogap.gateway.store.RecordListener;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.store.UnnumberedReturns;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Follows the records of operators in the store: puts new configurations in force and
 * passes rollout orders on.
 */
public final class OperatorRecordWatcher implements RecordListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The time after a return of the store from an earlier copy within which operators
	 * write the lost records again. Until then, a record of the copy that says something
	 * else than a newer one that this node has read isn't applied.
	 */
	private static final long REWRITE_MILLIS = 10_000;

	private static final int MAX_LOGGED_FAULTS = 8;

	/** Longer texts are cut in log lines. */
	private static final int MAX_LOGGED_LENGTH = 200;

	private final EventLoop loop;

	private final RecordCodec codec;

	private final ConfigHolder config;

	private final RolloutController rollouts;

	private final NodeClock clock;

	private final EvacuatedZones evacuatedZones;

	private final PlacementRules placementRules;

	private final RelayMetrics metrics;

	private final Runnable readinessListener;

	private final RecordFollower follower;

	/**
	 * The configuration that was read before all operator records were listed once. It
	 * waits for the evacuations, so that no request is sent before they are known.
	 */
	private @Nullable StoredRecord firstConfig;

	private boolean listingCompleted;

	/**
	 * Create a watcher that isn't started.
	 * @param loop the event loop that reads the store
	 * @param store the store to read from
	 * @param codec decodes the records
	 * @param config receives the configurations
	 * @param rollouts receives the rollout orders
	 * @param evacuatedZones receives the evacuations
	 * @param placementRules finds faults in the restrictions of configurations
	 * @param metrics counts faults in records
	 * @param clock the clocks of this process
	 * @param readinessListener runs when what the node serves callers with may have
	 * become complete
	 * @param unnumberedReturns tells of returns of the store that another stream shows
	 */
	public OperatorRecordWatcher(EventLoop loop, RecordStore store, RecordCodec codec, ConfigHolder config,
			RolloutController rollouts, EvacuatedZones evacuatedZones, PlacementRules placementRules,
			RelayMetrics metrics, NodeClock clock, Runnable readinessListener, UnnumberedReturns unnumberedReturns) {
		this.loop = loop;
		this.codec = codec;
		this.config = config;
		this.rollouts = rollouts;
		this.evacuatedZones = evacuatedZones;
		this.placementRules = placementRules;
		this.metrics = metrics;
		this.clock = clock;
		this.readinessListener = readinessListener;
		this.follower = new RecordFollower(loop, store, StoreStream.OPERATOR, 0, this, clock::steadyMillis,
				unnumberedReturns);
	}

	/**
	 * Start following the records.
	 */
	public void start() {
		this.follower.start();
	}

	@Override
	public void onRecord(StoredRecord entry) {
		switch (this.codec.subjectOf(entry.key())) {
			case CONFIG -> {
				if (!this.listingCompleted) {
					this.firstConfig = entry;
				}
				else {
					entry.value().ifPresent((value) -> applyConfig(entry, value));
				}
			}
			case ROLLOUT -> entry.value().ifPresent((value) -> applyRollout(entry, value));
			case EVACUATION -> applyEvacuation(entry);
			case OTHER -> logger.atFine().log("%s", LogLine.of("record ignored").with("key", entry.key()));
		}
	}

	private void applyConfig(StoredRecord entry, byte[] value) {
		Either<String, ServingConfig> decoded = this.codec.decodeConfig(value);
		if (decoded.isLeft()) {
			logger.atSevere()
				.log("%s",
						LogLine.of("configuration unreadable")
							.with("offset", entry.offset())
							.with("reason", "record " + entry.key() + " is ignored: " + decoded.getLeft()));
		}
		else if (this.config.applyIfNewer(decoded.get(), this.clock.steadyMillis())) {
			logger.atInfo()
				.log("%s",
						LogLine.of("configuration in force")
							.with("version", decoded.get().version())
							.with("offset", entry.offset()));
			logFaults(decoded.get());
			this.readinessListener.run();
		}
	}

	private void logFaults(ServingConfig applied) {
		List<String> faults = this.placementRules.findFaults(applied);
		faults.stream()
			.limit(MAX_LOGGED_FAULTS)
			.forEach((fault) -> logger.atWarning()
				.log("%s",
						LogLine.of("allowed regions restricted")
							.with("version", applied.version())
							.with("reason", abbreviate(fault) + "; only regions that exist are allowed")));
		faults.forEach((fault) -> this.metrics.increment("restricted.regions"));
	}

	private static String abbreviate(String text) {
		return (text.length() <= MAX_LOGGED_LENGTH) ? text : text.substring(0, MAX_LOGGED_LENGTH) + "...";
	}

	private void applyEvacuation(StoredRecord entry) {
		String zone = this.codec.evacuatedZoneOf(entry.key());
		boolean isEvacuated = entry.value().isPresent();
		EvacuatedZones.Outcome outcome = this.evacuatedZones.apply(zone, isEvacuated, entry.offset());
		if (outcome == EvacuatedZones.Outcome.CHANGED) {
			logger.atInfo()
				.log("%s",
						LogLine.of(isEvacuated ? "zone evacuated" : "zone taken back")
							.with("zone", zone)
							.with("offset", entry.offset())
							.with("evacuated", String.join(",", this.evacuatedZones.zones())));
		}
		else if (outcome == EvacuatedZones.Outcome.UNKNOWN_ZONE) {
			this.metrics.increment("ignored.evacuation");
			logger.atWarning()
				.log("%s",
						LogLine.of("evacuation ignored")
							.with("zone", abbreviate(zone))
							.with("offset", entry.offset())
							.with("reason", "the platform has no such zone"));
		}
	}

	private void applyRollout(StoredRecord entry, byte[] value) {
		Either<String, RecordCodec.RolloutOrder> decoded = this.codec.decodeRollout(value);
		if (decoded.isLeft()) {
			logger.atSevere()
				.log("%s",
						LogLine.of("rollout order unreadable")
							.with("offset", entry.offset())
							.with("reason", "record " + entry.key() + " is ignored: " + decoded.getLeft()));
			return;
		}
		this.rollouts.applyOrder(decoded.get(), entry.offset(), this.clock.steadyMillis());
	}

	@Override
	public void onListed(Set<String> keys, long endOffset) {
		Set<String> listedZones = keys.stream()
			.filter((key) -> this.codec.subjectOf(key) == RecordCodec.OperatorSubject.EVACUATION)
			.map(this.codec::evacuatedZoneOf)
			.collect(Collectors.toSet());
		this.evacuatedZones.retain(listedZones, endOffset)
			.forEach((zone) -> logger.atInfo()
				.log("%s", LogLine.of("zone taken back").with("zone", zone).with("offset", endOffset)));
		this.loop.schedule(LoggedTask.of("held evacuations", this::applyHeldEvacuations), REWRITE_MILLIS,
				TimeUnit.MILLISECONDS);
		this.listingCompleted = true;
		StoredRecord waiting = this.firstConfig;
		this.firstConfig = null;
		if (waiting != null) {
			onRecord(waiting);
		}
		logger.atInfo()
			.log("%s", LogLine.of("operator records listed").with("keys", keys.size()).with("offset", endOffset));
		this.readinessListener.run();
	}

	private void applyHeldEvacuations() {
		this.evacuatedZones.applyHeld(this.clock.steadyMillis())
			.forEach((zone) -> logger.atWarning()
				.log("%s",
						LogLine.of(this.evacuatedZones.contains(zone) ? "zone evacuated" : "zone taken back")
							.with("zone", zone)
							.with("reason", "the order that was in force wasn't written again within " + REWRITE_MILLIS
									+ " ms after the store returned from an earlier copy")));
	}

	@Override
	public void onStoreRestored() {
		long heldUntilMillis = this.clock.steadyMillis() + REWRITE_MILLIS;
		this.evacuatedZones.forgetOffsets(heldUntilMillis);
		this.rollouts.forgetStoredRecords(heldUntilMillis);
	}

}
