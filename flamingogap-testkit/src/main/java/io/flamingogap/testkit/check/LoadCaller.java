package io.flamingogap.testkit.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import io.flamingogap.testkit.check.CallerClient.EntryNodeReply;
import io.flamingogap.testkit.check.CallerClient.EntryReply;
import io.flamingogap.testkit.check.CallerClient.Reply;
import io.flamingogap.testkit.check.CallerClient.StreamReply;

/**
 * One caller in a loop: bookings, lookups and streams at the first node of an entry
 * answer that it keeps for its full time to live.
 */
final class LoadCaller {

	private static final int CREATED = 201;

	private static final int OK = 200;

	private final CallerClient caller;

	private final List<String> seeds;

	private final int number;

	private final String streamRequest;

	private final String expectedText;

	private final List<String> failures = new ArrayList<>();

	private EntryReply entry;

	private long entryEndNanos;

	LoadCaller(CallerClient caller, List<String> seeds, int number, String streamRequest, String expectedText) {
		this.caller = caller;
		this.seeds = seeds;
		this.number = number;
		this.streamRequest = streamRequest;
		this.expectedText = expectedText;
		this.entry = askEntry();
	}

	private EntryReply askEntry() {
		EntryReply answer = this.caller.entry(this.seeds.get(this.number % (this.seeds.size() - 1)));
		this.entryEndNanos = System.nanoTime() + answer.ttlMillis() * 1_000_000;
		return answer;
	}

	Tally run(AtomicBoolean running) {
		int requests = 0;
		while (running.get()) {
			if (System.nanoTime() >= this.entryEndNanos) {
				this.entry = askEntry();
			}
			try {
				sendOne(this.entry.nodes().get(0), requests++);
			}
			catch (RuntimeException ex) {
				this.failures.add(ex.toString());
			}
		}
		return new Tally(requests, List.copyOf(this.failures));
	}

	private void sendOne(EntryNodeReply node, int turn) {
		switch ((turn + this.number) % 3) {
			case 0 -> {
				StreamReply reply = this.caller.stream(node.address(), this.streamRequest, Optional.empty());
				record(reply.whole() && reply.text().equals(this.expectedText), reply);
			}
			case 1 -> {
				Reply reply = this.caller.call(node.address(), "POST", "/services/desk/bookings",
						Optional.of(this.caller.newKey(node)), "{\"lot\":1}");
				record(reply.status() == CREATED, reply);
			}
			default -> {
				Reply reply = this.caller.call(node.address(), "GET", "/services/desk/lots/9", Optional.empty(), "");
				record(reply.status() == OK, reply);
			}
		}
	}

	private void record(boolean passed, Object reply) {
		if (!passed) {
			this.failures.add(reply.toString());
		}
	}

	/**
	 * What callers saw.
	 *
	 * @param requests the requests sent
	 * @param failures what was seen instead of an answer
	 */
	record Tally(int requests, List<String> failures) {

		static Tally empty() {
			return new Tally(0, List.of());
		}

		Tally plus(Tally other) {
			List<String> all = new ArrayList<>(this.failures);
			all.addAll(other.failures);
			return new Tally(this.requests + other.requests, all);
		}

	}

}
