package io.flamingogap.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.text.Digests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Unit tests for {@link ConfigState}.
 */
class ConfigStateTests {

	private static final String OPERATOR = "[[operator]]\nname = \"ops\"\nkeyDigest = \"" + Digests.sha256("key")
			+ "\"\n";

	private final ConfigState initial = ConfigState.initial(Set.of("boot"));

	private static ConfigRecord change(String id, long base, String operator) {
		String manifest = "zone = []\nservice = []\nserver = []\naccount = []\n# " + id + "\n" + OPERATOR;
		return new ConfigRecord(id, base, operator, Digests.sha256(manifest), manifest);
	}

	@Test
	void firstChangeMustComeFromBootstrapOperator() {
		ConfigState state = this.initial.apply(1, change("a", 0, "boot"));
		assertThat(state.acceptedOffset(), is(1L));
		assertThat(this.initial.apply(1, change("a", 0, "stranger")).acceptedOffset(), is(0L));
	}

	@Test
	void bootstrapOperatorMayNotPublishOnceManifestNamesOperators() {
		ConfigState state = this.initial.apply(1, change("a", 0, "boot"));
		assertThat(state.apply(2, change("b", 1, "boot")).acceptedOffset(), is(1L));
		assertThat(state.apply(2, change("b", 1, "ops")).acceptedOffset(), is(2L));
	}

	@Test
	void refusalOfConcurrentChangeNamesAcceptedChange() {
		ConfigState state = this.initial.apply(1, change("a", 0, "boot")).apply(2, change("b", 0, "ops"));
		ConfigVerdict verdict = state.verdict("b").orElseThrow();
		assertThat(verdict.accepted(), is(false));
		assertThat(verdict.reason(), containsString("change a by boot"));
		assertThat(state.acceptedOffset(), is(1L));
	}

	@Test
	void duplicateRecordChangesNothing() {
		ConfigState state = this.initial.apply(1, change("a", 0, "boot")).apply(2, change("a", 0, "boot"));
		assertThat(state.acceptedOffset(), is(1L));
		assertThat(state.verdict("a").orElseThrow().accepted(), is(true));
	}

	@Test
	void recordWithWrongDigestIsRefused() {
		ConfigRecord good = change("a", 0, "boot");
		ConfigRecord forged = new ConfigRecord("a", 0, "boot", Digests.sha256("other"), good.manifest());
		assertThat(this.initial.apply(1, forged).acceptedOffset(), is(0L));
	}

	@Test
	void newerSnapshotIsRestoredAndOlderOneIgnored() {
		ConfigState state = this.initial.apply(1, change("a", 0, "boot")).apply(2, change("b", 1, "ops"));
		ConfigState restored = this.initial.restore(state.snapshot());
		assertThat(restored.acceptedOffset(), is(2L));
		assertThat(restored.verdict("a").orElseThrow().accepted(), is(true));
		assertThat(restored.apply(3, change("c", 2, "ops")).acceptedOffset(), is(3L));
		ConfigState ahead = state.apply(3, change("c", 2, "ops"));
		assertThat(ahead.restore(state.snapshot()).acceptedOffset(), is(3L));
	}

	@Property(tries = 500, seed = "20261204")
	void replayedRecordsNeverRevertAChangeAndEndInTheSameState(
			@ForAll @Size(max = 12) List<@IntRange(max = 12) Integer> baseOffsets,
			@ForAll @Size(max = 20) List<@IntRange(max = 11) Integer> replayStarts) {
		List<ConfigRecord> records = new ArrayList<>();
		for (int i = 0; i < baseOffsets.size(); i++) {
			records.add(change("change-" + i % 7, baseOffsets.get(i), (i % 2 == 0) ? "boot" : "ops"));
		}
		ConfigState appliedOnce = applyFrom(this.initial, records, 0);
		ConfigState replayed = this.initial;
		for (int start : replayStarts) {
			long before = replayed.acceptedOffset();
			if (start <= replayed.headOffset()) {
				replayed = applyFrom(replayed, records, start);
			}
			assertThat(replayed.acceptedOffset(), greaterThanOrEqualTo(before));
		}
		replayed = applyFrom(replayed, records, 0);
		assertThat(replayed.acceptedOffset(), is(appliedOnce.acceptedOffset()));
		assertThat(replayed.manifestText(), is(appliedOnce.manifestText()));
	}

	private static ConfigState applyFrom(ConfigState state, List<ConfigRecord> records, int start) {
		ConfigState next = state;
		for (int i = start; i < records.size(); i++) {
			next = next.apply(i + 1, records.get(i));
		}
		return next;
	}

}
