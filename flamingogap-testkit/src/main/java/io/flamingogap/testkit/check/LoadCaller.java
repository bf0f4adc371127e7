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
 * Caller that sends bookings, lookups and streams in a loop to the first node of an entry
 * answer. It keeps the entry answer for its full time to live.
 */
final class LoadCaller {

	private static final int CREATED = 201;

	private static final int OK = 200;

	private final CallerClient caller;

	private final List<String> entryAddresses;

	private final int number;

	private final String streamRequest;

	private final String expectedText;

	private final List<String> failures = new ArrayList<>();

	private EntryReply entry;

	private long entryExpiryNanos;

	LoadCaller(CallerClient caller, List<String> entryAddresses, int number, String streamRequest,
			String expectedText) {
		this.caller = caller;
		this.entryAddresses = entryAddresses;
		this.number = number;
		this.streamRequest = streamRequest;
		this.expectedText = expectedText;
		this.entry = fetchEntry();
	}

	private EntryReply fetchEntry() {
		EntryReply answer = this.caller.entry(this.entryAddresses.get(this.number % (this.entryAddresses.size() - 1)));
		this.entryExpiryNanos = System.nanoTime() + answer.ttlMillis() * 1_000_000;
		return answer;
	}

	Tally run(AtomicBoolean running) {
		int requests = 0;
		while (running.get()) {
			if (System.nanoTime() >= this.entryExpiryNanos) {
				this.entry = fetchEntry();
			}
			try {
				sendRequest(this.entry.nodes().get(0), requests++);
			}
			catch (RuntimeException ex) {
				this.failures.add(ex.toString());
			}
		}
		return new Tally(requests, List.copyOf(this.failures));
	}

	private void sendRequest(EntryNodeReply node, int turn) {
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
	 * Results of one or more callers.
	 *
	 * @param requests the number of requests sent
	 * @param failures the wrong replies and the exceptions, as text
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
