package io.flamingogap.daemon.platformlog;

import java.time.Clock;
import java.util.function.IntSupplier;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.config.ConfigState;
import io.flamingogap.core.config.SnapshotSchedule;
import io.flamingogap.daemon.tasks.PeriodicTask;

/**
 * Publisher of configuration snapshots. Each is published before the platform log drops
 * the records that it covers.
 */
public final class SnapshotPublisher implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long MAX_RECORDS_SINCE_SNAPSHOT = 200;

	private static final long RANK_DELAY_MILLIS = 5_000;

	private static final long CHECK_INTERVAL_MILLIS = 500;

	private final PlatformLogClient log;

	private final Configuration configuration;

	private final IntSupplier rank;

	private final long intervalMillis;

	private final Clock clock;

	private final PeriodicTask task;

	private long uncoveredSinceMillis = -1;

	private long uncoveredOffset;

	/**
	 * Create a publisher. It publishes after {@link #start()}.
	 * @param log the client of the platform log
	 * @param configuration the configuration in force
	 * @param rank supplies the rank of this node among the serving nodes, starting at 0
	 * @param intervalMillis the time after which a change that no snapshot covers is due
	 * for one
	 * @param clock the clock of this node
	 */
	public SnapshotPublisher(PlatformLogClient log, Configuration configuration, IntSupplier rank, long intervalMillis,
			Clock clock) {
		this.log = log;
		this.configuration = configuration;
		this.rank = rank;
		this.intervalMillis = intervalMillis;
		this.clock = clock;
		this.task = new PeriodicTask("snapshot-publisher", () -> CHECK_INTERVAL_MILLIS, this::publishIfDue);
	}

	/**
	 * Start to check periodically whether a snapshot is due.
	 */
	public void start() {
		this.task.start();
	}

	private void publishIfDue() {
		long nowMillis = this.clock.millis();
		ConfigState state = this.configuration.state();
		long snapshotOffset = this.configuration.lastSnapshotOffset();
		if (state.acceptedOffset() <= snapshotOffset) {
			this.uncoveredSinceMillis = -1;
			return;
		}
		if (this.uncoveredSinceMillis < 0 || this.uncoveredOffset > state.acceptedOffset()) {
			this.uncoveredSinceMillis = nowMillis;
			this.uncoveredOffset = state.acceptedOffset();
		}
		long uncoveredMillis = nowMillis - this.uncoveredSinceMillis;
		if (SnapshotSchedule.isDue(state.headOffset(), snapshotOffset, MAX_RECORDS_SINCE_SNAPSHOT, uncoveredMillis,
				this.intervalMillis, this.rank.getAsInt(), RANK_DELAY_MILLIS)) {
			publish(state);
		}
	}

	private void publish(ConfigState state) {
		boolean appended = this.log.append(PlatformLogClient.CONFIG_STREAM, this.configuration.snapshotBody())
			.isRight();
		logger.atInfo()
			.log("snapshot as of offset %d %s", state.headOffset(), appended ? "published" : "not confirmed");
		this.uncoveredSinceMillis = -1;
	}

	@Override
	public void close() {
		this.task.close();
	}

}
