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
 * Follows the records of operators in the store: puts new configurations in force and
 * passes rollout orders on.
 */
public final class OperatorRecordWatcher implements RecordListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final RecordCodec codec;

	private final ConfigHolder config;

	private final RolloutController rollouts;

	private final NodeClock clock;

	private final Runnable readinessListener;

	private final RecordFollower follower;

	/**
	 * Create a watcher that isn't started.
	 * @param loop the event loop that reads the store
	 * @param store the store to read from
	 * @param codec decodes the records
	 * @param config receives the configurations
	 * @param rollouts receives the rollout orders
	 * @param clock the clocks of this process
	 * @param readinessListener runs when what the node serves callers with may have
	 * become complete
	 */
	public OperatorRecordWatcher(EventLoop loop, RecordStore store, RecordCodec codec, ConfigHolder config,
			RolloutController rollouts, NodeClock clock, Runnable readinessListener) {
		this.codec = codec;
		this.config = config;
		this.rollouts = rollouts;
		this.clock = clock;
		this.readinessListener = readinessListener;
		this.follower = new RecordFollower(loop, store, StoreStream.OPERATOR, 0, this, clock::steadyMillis);
	}

	/**
	 * Start following the records.
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
			case CONFIG -> applyConfig(entry, entry.value().get());
			case ROLLOUT -> applyRollout(entry, entry.value().get());
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
			this.readinessListener.run();
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
		logger.atInfo()
			.log("%s", LogLine.of("operator records listed").with("keys", keys.size()).with("offset", endOffset));
		this.readinessListener.run();
	}

}
