package io.flamingogap.core.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;

import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.manifest.ManifestReader;
import io.flamingogap.core.manifest.Operator;
import io.flamingogap.core.text.Digests;
import io.flamingogap.core.toml.ValidationError;

/**
 * The configuration that results from the records of the configuration stream up to an
 * offset. Records must be applied in the order of their offsets; a record at or below the
 * offset is ignored, so one that arrives out of order is lost. Nodes that have applied
 * the same records in this order hold equal states, however often they received them. The
 * reasons of refused changes are stored in snapshots, which nodes of two versions may
 * read side by side. Instances are immutable.
 */
public final class ConfigState {

	private static final int MAX_VERDICTS = 1_000;

	private static final int MAX_SNAPSHOT_VERDICTS = 100;

	private final long headOffset;

	private final long acceptedOffset;

	private final Manifest manifest;

	private final String manifestText;

	private final Map<String, ConfigVerdict> verdicts;

	private final Set<String> bootstrapOperators;

	private ConfigState(long headOffset, long acceptedOffset, Manifest manifest, String manifestText,
			Map<String, ConfigVerdict> verdicts, Set<String> bootstrapOperators) {
		this.headOffset = headOffset;
		this.acceptedOffset = acceptedOffset;
		this.manifest = manifest;
		this.manifestText = manifestText;
		this.verdicts = verdicts;
		this.bootstrapOperators = bootstrapOperators;
	}

	/**
	 * Create the state before the first record.
	 * @param bootstrapOperators the names of the operators who may publish as long as the
	 * manifest in force names no operator
	 * @return a state with an empty manifest
	 */
	public static ConfigState initial(Set<String> bootstrapOperators) {
		return new ConfigState(0, 0, Manifest.empty(), "", LinkedHashMap.empty(), Set.copyOf(bootstrapOperators));
	}

	/**
	 * Apply the next record. A change whose id was already decided on is not decided on
	 * again.
	 * @param offset the offset of the record in the stream
	 * @param change the content of the record
	 * @return the state after the record; this state if it already covers the offset
	 */
	public ConfigState apply(long offset, ConfigRecord change) {
		Objects.requireNonNull(change, "change must not be null");
		if (offset <= this.headOffset) {
			return this;
		}
		if (this.verdicts.containsKey(change.id())) {
			return withHeadOffset(offset);
		}
		Either<String, Manifest> decision = decide(change);
		ConfigVerdict verdict = new ConfigVerdict(offset, change.id(), change.operator(), decision.isRight(),
				decision.fold((reason) -> reason, (accepted) -> "accepted"));
		Map<String, ConfigVerdict> newVerdicts = dropOldestIfTooMany(this.verdicts.put(change.id(), verdict));
		if (decision.isLeft()) {
			return new ConfigState(offset, this.acceptedOffset, this.manifest, this.manifestText, newVerdicts,
					this.bootstrapOperators);
		}
		return new ConfigState(offset, offset, decision.get(), change.manifest(), newVerdicts, this.bootstrapOperators);
	}

	/**
	 * Skip a record that isn't a valid change, so that it doesn't block the records after
	 * it.
	 * @param offset the offset of the record in the stream
	 * @return the state after the record; this state if it already covers the offset
	 */
	public ConfigState skip(long offset) {
		return (offset <= this.headOffset) ? this : withHeadOffset(offset);
	}

	/**
	 * Create a snapshot of this state.
	 * @return a snapshot that holds the newest verdicts only
	 */
	public ConfigSnapshot snapshot() {
		return new ConfigSnapshot(this.headOffset, this.acceptedOffset, Digests.sha256(this.manifestText),
				this.manifestText, this.verdicts.values().takeRight(MAX_SNAPSHOT_VERDICTS).toJavaList());
	}

	/**
	 * Restore a snapshot that covers more records than this state.
	 * @param snapshot the snapshot
	 * @return the state as of the snapshot; this state if the snapshot covers no more
	 * records or its manifest doesn't match its digest
	 */
	public ConfigState restore(ConfigSnapshot snapshot) {
		if (snapshot.asOfOffset() <= this.headOffset || !snapshot.isIntact()) {
			return this;
		}
		Manifest restoredManifest = (snapshot.acceptedOffset() > 0)
				? ManifestReader.read(snapshot.manifest()).getOrElse(Manifest.empty()) : Manifest.empty();
		Map<String, ConfigVerdict> restoredVerdicts = LinkedHashMap.empty();
		for (ConfigVerdict verdict : snapshot.verdicts()) {
			restoredVerdicts = restoredVerdicts.put(verdict.id(), verdict);
		}
		return new ConfigState(snapshot.asOfOffset(), snapshot.acceptedOffset(), restoredManifest, snapshot.manifest(),
				restoredVerdicts, this.bootstrapOperators);
	}

	private ConfigState withHeadOffset(long offset) {
		return new ConfigState(offset, this.acceptedOffset, this.manifest, this.manifestText, this.verdicts,
				this.bootstrapOperators);
	}

	private Either<String, Manifest> decide(ConfigRecord change) {
		if (change.baseOffset() != this.acceptedOffset) {
			return Either.left("made against offset " + change.baseOffset() + " but " + describeChangeInForce());
		}
		if (!mayPublish(change.operator())) {
			return Either.left("operator " + change.operator() + " isn't named by the configuration in force");
		}
		if (!Digests.sha256(change.manifest()).equals(change.digest())) {
			return Either.left("the digest doesn't match the manifest");
		}
		return ManifestReader.read(change.manifest()).mapLeft(ConfigState::describe);
	}

	private String describeChangeInForce() {
		return this.verdicts.values()
			.find((verdict) -> verdict.offset() == this.acceptedOffset)
			.map((verdict) -> "change " + verdict.id() + " by " + verdict.operator() + " is in force since offset "
					+ verdict.offset())
			.getOrElse("offset " + this.acceptedOffset + " is in force");
	}

	private boolean mayPublish(String operator) {
		if (this.manifest.operator().isEmpty()) {
			return this.bootstrapOperators.contains(operator);
		}
		return this.manifest.operator().stream().map(Operator::name).anyMatch(operator::equals);
	}

	private static String describe(List<ValidationError> errors) {
		return errors.size() + " faults, first " + errors.get(0);
	}

	private static Map<String, ConfigVerdict> dropOldestIfTooMany(Map<String, ConfigVerdict> verdicts) {
		return (verdicts.size() > MAX_VERDICTS) ? verdicts.drop(1) : verdicts;
	}

	/**
	 * Return the offset of the last record that was applied or skipped.
	 * @return the offset; 0 before the first record
	 */
	public long headOffset() {
		return this.headOffset;
	}

	/**
	 * Return the offset of the manifest in force.
	 * @return the offset; 0 if there is none
	 */
	public long acceptedOffset() {
		return this.acceptedOffset;
	}

	/**
	 * Return the manifest in force.
	 * @return the manifest; empty if there is none
	 */
	public Manifest manifest() {
		return this.manifest;
	}

	/**
	 * Return the manifest in force as it was published.
	 * @return the TOML document; an empty string if there is none
	 */
	public String manifestText() {
		return this.manifestText;
	}

	/**
	 * Return the decision on a change.
	 * @param id the id of the change
	 * @return the verdict; empty if the change was not applied or its verdict is no
	 * longer kept
	 */
	public Optional<ConfigVerdict> verdict(String id) {
		return this.verdicts.get(id).toJavaOptional();
	}

}
