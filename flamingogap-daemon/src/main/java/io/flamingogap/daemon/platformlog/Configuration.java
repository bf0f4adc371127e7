package io.flamingogap.daemon.platformlog;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.config.ConfigRecord;
import io.flamingogap.core.config.ConfigState;
import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.daemon.platformlog.PlatformLog.LogRecord;

/**
 * The configuration in force at this node, with the records behind it for peers that
 * can't reach the log.
 */
public final class Configuration {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAX_KEPT_RECORDS = 1_000;

	private final NavigableMap<Long, String> records = new TreeMap<>();

	private final Consumer<ConfigState> onAccepted;

	private volatile ConfigState state;

	/**
	 * Create the configuration before the first record.
	 * @param bootstrapOperators who may publish the first manifest
	 * @param onAccepted told of each newly accepted state
	 */
	public Configuration(Set<String> bootstrapOperators, Consumer<ConfigState> onAccepted) {
		this.state = ConfigState.initial(bootstrapOperators);
		this.onAccepted = onAccepted;
	}

	/**
	 * Apply the next records. Records that are not next are left alone.
	 * @param page records in the order of their offsets
	 */
	public synchronized void apply(List<LogRecord> page) {
		for (LogRecord logRecord : page) {
			if (logRecord.offset() == this.state.headOffset() + 1) {
				applyNext(logRecord);
			}
		}
	}

	private void applyNext(LogRecord logRecord) {
		ConfigState before = this.state;
		try {
			this.state = before.apply(logRecord.offset(), MAPPER.readValue(logRecord.body(), ConfigRecord.class));
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			logger.atWarning().log("config record %d can't be read: %s", logRecord.offset(), ex.getMessage());
			this.state = before.skip(logRecord.offset());
		}
		this.records.put(logRecord.offset(), logRecord.body());
		if (this.records.size() > MAX_KEPT_RECORDS) {
			this.records.pollFirstEntry();
		}
		if (this.state.acceptedOffset() != before.acceptedOffset()) {
			logger.atInfo().log("configuration of offset %d is in force", this.state.acceptedOffset());
			this.onAccepted.accept(this.state);
		}
	}

	/**
	 * Return records for a peer.
	 * @param firstOffset the first offset that the peer lacks
	 * @param maxRecords the most records to return
	 * @return the records in the order of their offsets
	 */
	public synchronized List<LogRecord> recordsFrom(long firstOffset, int maxRecords) {
		List<LogRecord> found = new ArrayList<>();
		this.records.tailMap(firstOffset, true)
			.entrySet()
			.stream()
			.limit(maxRecords)
			.forEach((entry) -> found.add(new LogRecord(entry.getKey(), entry.getValue())));
		return found;
	}

	/**
	 * Return the state in force.
	 * @return the state
	 */
	public ConfigState state() {
		return this.state;
	}

	/**
	 * Return the manifest in force.
	 * @return the manifest
	 */
	public Manifest manifest() {
		return this.state.manifest();
	}

}
