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
 * The configuration decided by the records of the stream up to an offset. Every node that
 * applied the same records holds an equal state, whatever order they reached it in and
 * however often.
 */
public final class ConfigState {

	private static final int MAX_VERDICTS = 1_000;

	private static final int SNAPSHOT_VERDICTS = 100;

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
	 * @param bootstrapOperators the operators who may publish while no manifest names any
	 * @return the state
	 */
	public static ConfigState initial(Set<String> bootstrapOperators) {
		return new ConfigState(0, 0, Manifest.empty(), "", LinkedHashMap.empty(), Set.copyOf(bootstrapOperators));
	}

	/**
	 * Apply the next record.
	 * @param offset the record's offset in the stream
	 * @param change the record
	 * @return the state after it; this state if the record was applied before
	 */
	public ConfigState apply(long offset, ConfigRecord change) {
		Objects.requireNonNull(change, "change must not be null");
		if (offset <= this.headOffset) {
			return this;
		}
		if (this.verdicts.containsKey(change.id())) {
			return withHead(offset);
		}
		Either<String, Manifest> decision = decide(change);
		ConfigVerdict verdict = new ConfigVerdict(offset, change.id(), change.operator(), decision.isRight(),
				decision.fold((reason) -> reason, (accepted) -> "accepted"));
		Map<String, ConfigVerdict> verdictsAfter = bounded(this.verdicts.put(change.id(), verdict));
		if (decision.isLeft()) {
			return new ConfigState(offset, this.acceptedOffset, this.manifest, this.manifestText, verdictsAfter,
					this.bootstrapOperators);
		}
		return new ConfigState(offset, offset, decision.get(), change.manifest(), verdictsAfter,
				this.bootstrapOperators);
	}

	/**
	 * Skip a record that isn't a change, so that a broken record can't hold up the
	 * stream.
	 * @param offset the record's offset
	 * @return the state after it
	 */
	public ConfigState skip(long offset) {
		return (offset <= this.headOffset) ? this : withHead(offset);
	}

	/**
	 * Return the state as a snapshot.
	 * @return the snapshot
	 */
	public ConfigSnapshot snapshot() {
		return new ConfigSnapshot(this.headOffset, this.acceptedOffset, Digests.sha256(this.manifestText),
				this.manifestText, this.verdicts.values().takeRight(SNAPSHOT_VERDICTS).toJavaList());
	}

	/**
	 * Go on from a snapshot that is ahead of this state.
	 * @param snapshot the snapshot
	 * @return the state as of the snapshot; this state if it isn't ahead or isn't intact
	 */
	public ConfigState restore(ConfigSnapshot snapshot) {
		if (snapshot.asOfOffset() <= this.headOffset || !snapshot.isIntact()) {
			return this;
		}
		Manifest restored = (snapshot.acceptedOffset() > 0)
				? ManifestReader.read(snapshot.manifest()).getOrElse(Manifest.empty()) : Manifest.empty();
		Map<String, ConfigVerdict> held = LinkedHashMap.empty();
		for (ConfigVerdict verdict : snapshot.verdicts()) {
			held = held.put(verdict.id(), verdict);
		}
		return new ConfigState(snapshot.asOfOffset(), snapshot.acceptedOffset(), restored, snapshot.manifest(), held,
				this.bootstrapOperators);
	}

	private ConfigState withHead(long offset) {
		return new ConfigState(offset, this.acceptedOffset, this.manifest, this.manifestText, this.verdicts,
				this.bootstrapOperators);
	}

	private Either<String, Manifest> decide(ConfigRecord change) {
		if (change.baseOffset() != this.acceptedOffset) {
			return Either.left("made against offset " + change.baseOffset() + " but " + winner());
		}
		if (!mayPublish(change.operator())) {
			return Either.left("operator " + change.operator() + " isn't named by the configuration in force");
		}
		if (!Digests.sha256(change.manifest()).equals(change.digest())) {
			return Either.left("the digest doesn't match the manifest");
		}
		return ManifestReader.read(change.manifest()).mapLeft(ConfigState::describe);
	}

	private String winner() {
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

	private static String describe(List<ValidationError> faults) {
		return faults.size() + " faults, first " + faults.get(0);
	}

	private static Map<String, ConfigVerdict> bounded(Map<String, ConfigVerdict> verdicts) {
		return (verdicts.size() > MAX_VERDICTS) ? verdicts.drop(1) : verdicts;
	}

	/**
	 * Return the offset of the last record that was looked at.
	 * @return the offset; 0 before the first
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
	 * @return the manifest
	 */
	public Manifest manifest() {
		return this.manifest;
	}

	/**
	 * Return the manifest in force as it was published.
	 * @return the TOML document; empty if there is none
	 */
	public String manifestText() {
		return this.manifestText;
	}

	/**
	 * Return what became of a change.
	 * @param id the id of the change
	 * @return the verdict, if its record was applied
	 */
	public Optional<ConfigVerdict> verdict(String id) {
		return this.verdicts.get(id).toJavaOptional();
	}

}
