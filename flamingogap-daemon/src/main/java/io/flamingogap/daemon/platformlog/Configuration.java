package io.flamingogap.daemon.platformlog;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.config.ConfigRecord;
import io.flamingogap.core.config.ConfigSnapshot;
import io.flamingogap.core.config.ConfigState;
import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.platformlog.PlatformLog.LogRecord;

/**
 * The configuration in force at this node, with the records behind it for peers that
 * can't reach the log.
 */
public final class Configuration {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAX_KEPT_RECORDS = 1_000;

	private static final long MAX_KEPT_CHARS = 8_388_608;

	private static final String SNAPSHOT_FIELD = "asOfOffset";

	private final NavigableMap<Long, String> records = new TreeMap<>();

	private final Consumer<ConfigState> onAccepted;

	private volatile ConfigState state;

	private long lastSnapshotOffset;

	private long keptChars;

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
	 * Apply records. Records that are not next are left alone, but a snapshot ahead of
	 * the state is taken.
	 * @param page records in the order of their offsets
	 */
	public synchronized void apply(List<LogRecord> page) {
		for (LogRecord logRecord : page) {
			if (logRecord.offset() == this.state.headOffset() + 1) {
				applyNext(logRecord);
			}
			else {
				readSnapshot(logRecord.body()).ifPresent(this::restore);
			}
		}
	}

	private void applyNext(LogRecord logRecord) {
		ConfigState before = this.state;
		if (readSnapshot(logRecord.body()).isPresent()) {
			this.state = before.skip(logRecord.offset());
			this.lastSnapshotOffset = logRecord.offset();
		}
		else {
			this.state = applyChange(before, logRecord);
		}
		keep(logRecord);
		tellIfAccepted(before);
	}

	private static ConfigState applyChange(ConfigState before, LogRecord logRecord) {
		try {
			return before.apply(logRecord.offset(), MAPPER.readValue(logRecord.body(), ConfigRecord.class));
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			logger.atWarning().log("config record %d can't be read: %s", logRecord.offset(), ex.getMessage());
			return before.skip(logRecord.offset());
		}
	}

	private void restore(ConfigSnapshot snapshot) {
		ConfigState before = this.state;
		this.state = before.restore(snapshot);
		if (this.state != before) {
			logger.atInfo().log("configuration restored from a snapshot as of offset %d", snapshot.asOfOffset());
			this.records.clear();
			this.keptChars = 0;
			this.lastSnapshotOffset = snapshot.asOfOffset();
			tellIfAccepted(before);
		}
	}

	private void keep(LogRecord logRecord) {
		this.records.put(logRecord.offset(), logRecord.body());
		this.keptChars += logRecord.body().length();
		while (this.records.size() > 1 && (this.records.size() > MAX_KEPT_RECORDS || this.keptChars > MAX_KEPT_CHARS)) {
			this.keptChars -= this.records.pollFirstEntry().getValue().length();
		}
	}

	private void tellIfAccepted(ConfigState before) {
		if (this.state.acceptedOffset() != before.acceptedOffset()) {
			logger.atInfo().log("configuration of offset %d is in force", this.state.acceptedOffset());
			this.onAccepted.accept(this.state);
		}
	}

	private static Optional<ConfigSnapshot> readSnapshot(String body) {
		try {
			JsonNode node = MAPPER.readTree(body);
			return node.has(SNAPSHOT_FIELD) ? Optional.of(MAPPER.treeToValue(node, ConfigSnapshot.class))
					: Optional.empty();
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Return the state as the body of a snapshot record.
	 * @return a JSON document
	 */
	public synchronized String snapshotBody() {
		return new String(Exchanges.toJsonBytes(this.state.snapshot()), StandardCharsets.UTF_8);
	}

	/**
	 * Return the offset of the last snapshot seen in the stream.
	 * @return the offset; 0 for none
	 */
	public synchronized long lastSnapshotOffset() {
		return this.lastSnapshotOffset;
	}

	/**
	 * Return records for a peer, or a snapshot if the first of them is no longer kept.
	 * @param firstOffset the first offset that the peer lacks
	 * @param maxRecords the most records to return
	 * @return the records in the order of their offsets
	 */
	public synchronized List<LogRecord> recordsFrom(long firstOffset, int maxRecords) {
		List<LogRecord> found = new ArrayList<>();
		boolean dropped = this.records.isEmpty() || this.records.firstKey() > firstOffset;
		if (dropped && this.state.headOffset() >= firstOffset) {
			return List.of(new LogRecord(this.state.headOffset(), snapshotBody()));
		}
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
