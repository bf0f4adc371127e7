package io.flamingogap.gateway.node;

import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;

import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordFollower;
import io.flamingogap.gateway.store.RecordListener;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Puts configurations in force as operators publish them, and takes their rollout orders.
 */
public final class OperatorRecordWatcher implements RecordListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final RecordCodec codec;

	private final ConfigHolder config;

	private final RolloutController rollouts;

	private final NodeClock clock;

	private final RecordFollower follower;

	/**
	 * Create a watch.
	 * @param loop the event loop
	 * @param store the store
	 * @param codec reads operators' records
	 * @param config takes configurations
	 * @param rollouts takes orders of rollouts
	 * @param clock tells the present time
	 */
	public OperatorRecordWatcher(EventLoop loop, RecordStore store, RecordCodec codec, ConfigHolder config,
			RolloutController rollouts, NodeClock clock) {
		this.codec = codec;
		this.config = config;
		this.rollouts = rollouts;
		this.clock = clock;
		this.follower = new RecordFollower(loop, store, StoreStream.OPERATOR, 0, this, clock::steadyMillis);
	}

	/**
	 * Begin to follow.
	 */
	public void start() {
		this.follower.start();
	}

	@Override
	public void onRecord(StoredRecord entry) {
		if (entry.value().isEmpty()) {
			return;
		}
		switch (this.codec.subjectOf(entry.key())) {
			case CONFIG -> takeConfig(entry, entry.value().get());
			case ROLLOUT -> takeRollout(entry, entry.value().get());
			case OTHER -> logger.atFine().log("%s", LogLine.of("record ignored").with("key", entry.key()));
		}
	}

	private void takeConfig(StoredRecord entry, byte[] value) {
		Either<String, ServingConfig> read = this.codec.readConfig(value);
		if (read.isLeft()) {
			logger.atSevere()
				.log("%s",
						LogLine.of("configuration unreadable")
							.with("offset", entry.offset())
							.with("reason", read.getLeft()));
		}
		else if (this.config.applyIfNewer(read.get(), this.clock.steadyMillis())) {
			logger.atInfo()
				.log("%s",
						LogLine.of("configuration in force")
							.with("version", read.get().version())
							.with("offset", entry.offset()));
		}
	}

	private void takeRollout(StoredRecord entry, byte[] value) {
		Either<String, RecordCodec.RolloutOrder> read = this.codec.readRollout(value);
		if (read.isLeft()) {
			logger.atSevere()
				.log("%s",
						LogLine.of("rollout order unreadable")
							.with("offset", entry.offset())
							.with("reason", read.getLeft()));
			return;
		}
		this.rollouts.applyOrder(read.get(), entry.offset(), this.clock.steadyMillis());
	}

	@Override
	public void onListed(Set<String> keys, long end) {
		logger.atInfo().log("%s", LogLine.of("operator records listed").with("keys", keys.size()).with("offset", end));
	}

}
