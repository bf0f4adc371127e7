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
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogRecord;

/**
 * Configuration in force at this node, together with the most recent records of the
 * configuration stream for peers that can't reach the platform log.
 */
public final class Configuration {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAX_RETAINED_RECORDS = 1_000;

	private static final long MAX_RETAINED_CHARS = 8_388_608;

	private static final String SNAPSHOT_MARKER_FIELD = "asOfOffset";

	private final NavigableMap<Long, String> retainedRecords = new TreeMap<>();

	private final Consumer<ConfigState> onAccepted;

	private volatile ConfigState state;

	private long lastSnapshotOffset;

	private long retainedChars;

	/**
	 * Create a configuration before the first record.
	 * @param bootstrapOperators the names of the operators who may publish as long as the
	 * manifest in force names no operator
	 * @param onAccepted called with each state that has a newly accepted manifest
	 */
	public Configuration(Set<String> bootstrapOperators, Consumer<ConfigState> onAccepted) {
		this.state = ConfigState.initial(bootstrapOperators);
		this.onAccepted = onAccepted;
	}

	/**
	 * Apply records. A record that is not the next one is ignored, unless it is a
	 * snapshot that is ahead of the state, which is restored.
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
		ConfigState previous = this.state;
		if (readSnapshot(logRecord.body()).isPresent()) {
			this.state = previous.skip(logRecord.offset());
			this.lastSnapshotOffset = logRecord.offset();
		}
		else {
			this.state = applyChange(previous, logRecord);
		}
		retain(logRecord);
		notifyIfAccepted(previous);
	}

	private static ConfigState applyChange(ConfigState previous, LogRecord logRecord) {
		try {
			return previous.apply(logRecord.offset(), MAPPER.readValue(logRecord.body(), ConfigRecord.class));
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			logger.atWarning().log("config record %d can't be read: %s", logRecord.offset(), ex.getMessage());
			return previous.skip(logRecord.offset());
		}
	}

	private void restore(ConfigSnapshot snapshot) {
		ConfigState previous = this.state;
		this.state = previous.restore(snapshot);
		if (this.state != previous) {
			logger.atInfo().log("configuration restored from a snapshot as of offset %d", snapshot.asOfOffset());
			this.retainedRecords.clear();
			this.retainedChars = 0;
			this.lastSnapshotOffset = snapshot.asOfOffset();
			notifyIfAccepted(previous);
		}
	}

	private void retain(LogRecord logRecord) {
		this.retainedRecords.put(logRecord.offset(), logRecord.body());
		this.retainedChars += logRecord.body().length();
		while (this.retainedRecords.size() > 1
				&& (this.retainedRecords.size() > MAX_RETAINED_RECORDS || this.retainedChars > MAX_RETAINED_CHARS)) {
			this.retainedChars -= this.retainedRecords.pollFirstEntry().getValue().length();
		}
	}

	private void notifyIfAccepted(ConfigState previous) {
		if (this.state.acceptedOffset() != previous.acceptedOffset()) {
			logger.atInfo().log("configuration of offset %d is in force", this.state.acceptedOffset());
			this.onAccepted.accept(this.state);
		}
	}

	private static Optional<ConfigSnapshot> readSnapshot(String body) {
		try {
			JsonNode node = MAPPER.readTree(body);
			return node.has(SNAPSHOT_MARKER_FIELD) ? Optional.of(MAPPER.treeToValue(node, ConfigSnapshot.class))
					: Optional.empty();
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Return the current state as the body of a snapshot record.
	 * @return a JSON document
	 */
	public synchronized String snapshotBody() {
		return new String(Exchanges.toJsonBytes(this.state.snapshot()), StandardCharsets.UTF_8);
	}

	/**
	 * Return the offset of the last snapshot.
	 * @return the offset of its record in the stream, or the offset up to which the last
	 * restored snapshot covers the stream; 0 for none
	 */
	public synchronized long lastSnapshotOffset() {
		return this.lastSnapshotOffset;
	}

	/**
	 * Return records for a peer, or a snapshot if the first of them is no longer
	 * retained.
	 * @param firstOffset the first offset that the peer lacks
	 * @param maxRecords the maximum number of records
	 * @return the records in the order of their offsets
	 */
	public synchronized List<LogRecord> recordsFrom(long firstOffset, int maxRecords) {
		List<LogRecord> found = new ArrayList<>();
		boolean isFirstDropped = this.retainedRecords.isEmpty() || this.retainedRecords.firstKey() > firstOffset;
		if (isFirstDropped && this.state.headOffset() >= firstOffset) {
			return List.of(new LogRecord(this.state.headOffset(), snapshotBody()));
		}
		this.retainedRecords.tailMap(firstOffset, true)
			.entrySet()
			.stream()
			.limit(maxRecords)
			.forEach((entry) -> found.add(new LogRecord(entry.getKey(), entry.getValue())));
		return found;
	}

	/**
	 * Return the state after the last applied record.
	 * @return an immutable state
	 */
	public ConfigState state() {
		return this.state;
	}

	/**
	 * Return the manifest in force.
	 * @return the manifest; empty if there is none
	 */
	public Manifest manifest() {
		return this.state.manifest();
	}

}
