package io.flamingogap.core.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import io.flamingogap.core.node.NodeId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/**
 * Tests of {@link EvidenceTable}.
 */
class EvidenceTableTests {

	private static final RolloutKey ROLLOUT = new RolloutKey("assistant", "v2", 0);

	/**
	 * The receiver gets each state of the sender's rows, the newest ones neither last nor
	 * only once.
	 */
	@Property(tries = 1_000, seed = "20261204")
	void rowsMergeInAnyOrderAndAsOftenAsTheyCome(@ForAll @Size(max = 40) List<@IntRange(max = 11) Integer> counted,
			@ForAll Random random) {
		EvidenceTable source = new EvidenceTable();
		List<EvidenceRow> sent = new ArrayList<>();
		for (int number : counted) {
			source.count(key(number), number % 2 == 0, number % 3 == 0);
			sent.addAll(source.changesAfter(0, Integer.MAX_VALUE).rows());
		}
		sent.addAll(sent.subList(0, sent.size() / 2));
		Collections.shuffle(sent, random);
		EvidenceTable sink = new EvidenceTable();
		sent.forEach(sink::merge);
		assertThat(rows(sink), equalTo(rows(source)));
	}

	private static Map<EvidenceKey, Tally> rows(EvidenceTable table) {
		Map<EvidenceKey, Tally> rows = new HashMap<>();
		table.forEach(ROLLOUT, rows::put);
		return rows;
	}

	private static EvidenceKey key(int number) {
		return new EvidenceKey(ROLLOUT, new NodeId("entry-" + number % 2, 1), Arm.CANDIDATE, "route-" + number % 3,
				number % 2);
	}

}
