package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

/**
 * Compares {@link ServerSelector} with the choice between two random servers by their
 * room. 24 nodes in two zones send prompts to 12 servers whose speeds differ; a node is
 * told of the loads of its zone's nodes after 15 ms, and of the other zone's never.
 */
class SelectionComparisonTests {

	private static final int NODES = 24;

	private static final int SERVERS = 12;

	private static final int MILLIS = 6_000;

	private static final int EXCHANGE_MILLIS = 15;

	private static final double TOKENS_PER_MILLI = 100;

	private static final double[] SLOWNESS = { 0.7, 0.7, 1.7 };

	private enum Policy {

		LEAST_DELAY, TWO_RANDOM

	}

	@Test
	void leastExpectedDelayIsShorterThanTheBetterOfTwoRandomServers() {
		for (double load : new double[] { 0.5, 0.7, 0.85 }) {
			List<Double> leastDelay = firstTokenMillis(Policy.LEAST_DELAY, load);
			List<Double> twoRandom = firstTokenMillis(Policy.TWO_RANDOM, load);
			assertThat(quantile(leastDelay, 0.5), lessThan(quantile(twoRandom, 0.5)));
			assertThat(quantile(leastDelay, 0.95), lessThan(quantile(twoRandom, 0.95)));
		}
	}

	private static double quantile(List<Double> values, double share) {
		return values.stream().sorted().toList().get((int) (values.size() * share));
	}

	private static List<Double> firstTokenMillis(Policy policy, double load) {
		SplittableRandom random = new SplittableRandom(20261206);
		List<Node> nodes = new ArrayList<>();
		for (int i = 0; i < NODES; i++) {
			nodes.add(new Node("n" + i, "z" + i % 2));
		}
		double[] freeAtMillis = new double[SERVERS];
		double capacity = 0;
		for (int i = 0; i < SERVERS; i++) {
			capacity += TOKENS_PER_MILLI / SLOWNESS[i % SLOWNESS.length];
		}
		PriorityQueue<Run> runs = new PriorityQueue<>(Comparator.comparingDouble(Run::endMillis));
		List<Double> times = new ArrayList<>();
		double owedTokens = 0;
		for (int now = 0; now < MILLIS; now++) {
			while (!runs.isEmpty() && runs.peek().endMillis() <= now) {
				runs.poll().end();
			}
			if (now % EXCHANGE_MILLIS == 0) {
				exchange(nodes, now);
			}
			owedTokens += capacity * load;
			while (owedTokens > 0) {
				long tokens = (random.nextInt(4) == 0) ? 6_000 : 500 + random.nextInt(1_000);
				owedTokens -= tokens;
				Node node = nodes.get(random.nextInt(NODES));
				int index = node.choose(policy, tokens, random, now);
				boolean idle = freeAtMillis[index] <= now;
				double readMillis = tokens / TOKENS_PER_MILLI * SLOWNESS[index % SLOWNESS.length];
				freeAtMillis[index] = Math.max(now, freeAtMillis[index]) + readMillis;
				KnownServer server = node.table.find("s" + index).get();
				server.load().recordSent(tokens);
				runs.add(new Run(server, tokens, idle, readMillis, freeAtMillis[index]));
				if (now > MILLIS / 3) {
					times.add(freeAtMillis[index] - now);
				}
			}
		}
		return times;
	}

	private static void exchange(List<Node> nodes, int now) {
		for (Node from : nodes) {
			for (Node to : nodes) {
				if (from != to && from.zone.equals(to.zone)) {
					for (KnownServer server : from.table.ofService("engine")) {
						to.table.find(server.registration().id())
							.get()
							.load()
							.recordPeerLoad(from.name, server.load().openRequests(), server.load().unreadTokens(), now);
					}
				}
			}
		}
	}

	private record Run(KnownServer server, long tokens, boolean idle, double readMillis, double endMillis) {

		void end() {
			this.server.load().recordPromptRead(this.tokens);
			this.server.load().recordEnd();
			if (this.idle) {
				this.server.slowness()
					.recordObservation(this.tokens / TOKENS_PER_MILLI, this.readMillis, Math.round(this.endMillis));
			}
		}

	}

	private static final class Node {

		private final String name;

		private final String zone;

		private final ServerTable table = new ServerTable();

		private final ServicePace pace = new ServicePace();

		private final ServerSelector selector;

		private Node(String name, String zone) {
			this.name = name;
			this.zone = zone;
			this.selector = new ServerSelector(new NodeLocality(zone, Map.of("z0", "r1", "z1", "r1")));
			for (int i = 0; i < SERVERS; i++) {
				this.table.register(new ServerRegistration("s" + i, "engine", Address.parse("10.0.0.1:80"), "z" + i % 2,
						"v1", 40, false, false, 1, 1), 1);
			}
			PromptSpeedTests.observe(this.pace.promptSpeed(), TOKENS_PER_MILLI, 0);
		}

		private int choose(Policy policy, long tokens, SplittableRandom random, int now) {
			if (policy == Policy.LEAST_DELAY) {
				PromptMetadata prompt = new PromptMetadata(tokens, 10, List.of(new PromptPart("x", tokens)));
				return this.selector
					.choose(this.table.ofService("engine"), new RequestNeeds(prompt, 0, true), this.pace,
							(server) -> true, now)
					.map((choice) -> Integer.parseInt(choice.server().registration().id().substring(1)))
					.orElseGet(() -> random.nextInt(SERVERS));
			}
			int first = random.nextInt(SERVERS);
			int second = random.nextInt(SERVERS);
			return (openAt(first, now) <= openAt(second, now)) ? first : second;
		}

		private double openAt(int index, int now) {
			return this.table.find("s" + index).get().load().estimateOpenRequests(now);
		}

	}

}
