package io.flamingogap.core.request;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

/**
 * Property tests that {@link RequestLedger} executes each request at most once and
 * reports it as not run only if it never was, for random sequences of actions and faults.
 */
class LedgerPropertyTests {

	// Bits of a step: 0 to 5 the draw of the action, 6 and 7 the node, 8 to 17 the
	// choice.
	private static final int NODE_SHIFT = 6;

	private static final int CHOICE_SHIFT = 8;

	private static final int MAX_STEP = 1 << 18;

	@Property(tries = 20_000, seed = "20261204", edgeCases = EdgeCasesMode.NONE)
	void keysAreExecutedAtMostOnceAndNotRunIsTrue(@ForAll("steps") List<Integer> steps) {
		LedgerSimulation simulation = new LedgerSimulation();
		for (int step : steps) {
			int draw = step & ((1 << NODE_SHIFT) - 1);
			int node = ((step >> NODE_SHIFT) & ((1 << (CHOICE_SHIFT - NODE_SHIFT)) - 1)) % 3;
			simulation.step(draw, node, step >> CHOICE_SHIFT);
		}
		assertThat(simulation.violations(), empty());
	}

	@Provide
	Arbitrary<List<Integer>> steps() {
		return Arbitraries.integers().between(0, MAX_STEP - 1).withoutEdgeCases().list().ofMinSize(20).ofMaxSize(160);
	}

}
