package io.flamingogap.core.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.flamingogap.core.node.NodeId;

/**
 * Three ledgers and the messages between them, driven by numbers. Messages are lost,
 * doubled and delivered in any order; each node has a clock of its own that jumps.
 * Executions are counted where a request is sent, not in the ledgers.
 */
final class LedgerFleet {

	/** How often each action is drawn: the index of an action in {@link #step}. */
	private static final int[] DRAWN = { 0, 0, 0, 1, 1, 1, 1, 2, 3, 4, 4, 4, 5, 6, 6, 7, 7, 8, 8, 8, 9, 9, 9, 9, 9, 9,
			9, 9, 10, 10, 11 };

	private static final long ISSUE_INTERVAL_MILLIS = 3_000;

	/** Half of the deliveries are of one of the latest messages. */
	private static final int LATEST = 3;

	private static final int NODES = 3;

	private static final int KEYS = 3;

	private static final int[] CLOCK_STEPS_MILLIS = { -6_000, -3_000, 100, 700, 3_000, 6_000 };

	private final List<NodeId> nodes = new ArrayList<>();

	private final List<RequestLedger> ledgers = new ArrayList<>();

	private final long[] clockMillis = new long[NODES];

	private final boolean[] dead = new boolean[NODES];

	private final NodeId[] committedTo = new NodeId[NODES];

	private final List<Message> messages = new ArrayList<>();

	private final Map<RequestKey, Integer> mayHaveRun = new HashMap<>();

	private final Set<String> sending = new HashSet<>();

	private final Set<RequestKey> toldNeverRun = new HashSet<>();

	private final List<String> violations = new ArrayList<>();

	LedgerFleet() {
		for (int i = 0; i < NODES; i++) {
			this.nodes.add(LedgerFixtures.node(i));
			this.ledgers.add(new RequestLedger(this.nodes.get(i), LedgerFixtures.LIMITS));
		}
	}

	List<String> violations() {
		return this.violations;
	}

	/**
	 * Take one step.
	 * @param draw which step
	 * @param node the node that takes it
	 * @param choice the key, the other node or the message that it is about
	 */
	void step(int draw, int node, int choice) {
		if (this.dead[node]) {
			return;
		}
		RequestLedger ledger = this.ledgers.get(node);
		RequestKey key = key(choice);
		int other = (node + 1 + choice % (NODES - 1)) % NODES;
		switch (DRAWN[draw % DRAWN.length]) {
			case 0 -> admit(node, key);
			case 1 -> send(node, ledger, key);
			case 2 -> answer(node, ledger, key);
			case 3 -> lose(node, ledger, key);
			case 4 -> refuseConnection(node, ledger, key);
			case 5 -> giveUp(ledger, key);
			case 6 -> this.messages.add(new Message(Kind.OFFER, node, other, ledger.offer()));
			case 7 -> commit(node, ledger, other);
			case 8 -> tellOutcomes(node, ledger);
			case 9 -> deliver(choice);
			case 10 -> this.clockMillis[node] += CLOCK_STEPS_MILLIS[choice % CLOCK_STEPS_MILLIS.length];
			default -> die(node, other, choice);
		}
	}

	private RequestKey key(int choice) {
		int number = choice % KEYS;
		return LedgerFixtures.key(this.nodes.get((choice / KEYS) % 4 / 3), number * ISSUE_INTERVAL_MILLIS, number);
	}

	private void admit(int node, RequestKey key) {
		Admission admission = this.ledgers.get(node).admit(LedgerFixtures.request(key), this.clockMillis[node]);
		if (admission instanceof Admission.Replay replay
				&& !Arrays.equals(replay.answer().body(), answerTo(key).body())) {
			this.violations.add("answer of another request for " + key);
		}
	}

	private static Answer answerTo(RequestKey key) {
		return new Answer(201, "text/plain", key.toString().getBytes(StandardCharsets.UTF_8));
	}

	private void send(int node, RequestLedger ledger, RequestKey key) {
		if (!ledger.startDispatch(key)) {
			return;
		}
		this.sending.add(node + " " + key);
		if (this.mayHaveRun.merge(key, 1, Integer::sum) > 1) {
			this.violations.add("second execution of " + key + " at node " + node);
		}
		if (this.toldNeverRun.contains(key)) {
			this.violations.add("execution of " + key + " after \"not run\"");
		}
	}

	private void answer(int node, RequestLedger ledger, RequestKey key) {
		if (this.sending.remove(node + " " + key)) {
			ledger.recordAnswer(key, answerTo(key));
		}
	}

	private void lose(int node, RequestLedger ledger, RequestKey key) {
		if (this.sending.remove(node + " " + key)) {
			ledger.recordUnknown(key);
		}
	}

	private void refuseConnection(int node, RequestLedger ledger, RequestKey key) {
		if (this.sending.remove(node + " " + key)) {
			this.mayHaveRun.merge(key, -1, Integer::sum);
			ledger.recordNotSent(key);
		}
	}

	private void giveUp(RequestLedger ledger, RequestKey key) {
		if (ledger.cancel(key)) {
			this.toldNeverRun.add(key);
			if (this.mayHaveRun.getOrDefault(key, 0) > 0) {
				this.violations.add("\"not run\" of " + key + " after an execution");
			}
		}
	}

	private void commit(int node, RequestLedger ledger, int other) {
		if (this.committedTo[node] == null) {
			this.committedTo[node] = this.nodes.get(other);
			this.messages.add(new Message(Kind.COMMIT, node, other, ledger.commit(this.nodes.get(other))));
		}
		else {
			int successor = this.nodes.indexOf(this.committedTo[node]);
			this.messages.add(new Message(Kind.COMMIT, node, successor, ledger.fullCommit()));
		}
	}

	private void tellOutcomes(int node, RequestLedger ledger) {
		if (this.committedTo[node] != null) {
			int successor = this.nodes.indexOf(this.committedTo[node]);
			this.messages.add(new Message(Kind.OUTCOMES, node, successor, ledger.outcomesSinceCommit()));
		}
	}

	/**
	 * Deliver a message without taking it out, so that it may come again later.
	 */
	private void deliver(int choice) {
		if (this.messages.isEmpty()) {
			return;
		}
		int size = this.messages.size();
		int place = (choice % 2 == 0) ? choice / 2 % size : size - 1 - choice / 2 % Math.min(size, LATEST);
		Message message = this.messages.get(place);
		RequestLedger receiver = this.ledgers.get(message.receiver());
		if (this.dead[message.receiver()]) {
			return;
		}
		switch (message.kind()) {
			case OFFER -> receiver.receiveOffer(message.parts());
			case OUTCOMES -> receiver.receiveOutcomes(message.parts());
			case COMMIT -> receiveCommit(receiver, message);
			case REFUSAL -> receiveRefusal(message);
		}
	}

	private void receiveCommit(RequestLedger receiver, Message message) {
		if (receiver.receiveCommit(message.parts()) instanceof CommitResult.Refused) {
			this.messages.add(new Message(Kind.REFUSAL, message.receiver(), message.sender(), List.of()));
		}
	}

	private void receiveRefusal(Message message) {
		NodeId refuser = this.nodes.get(message.sender());
		if (this.ledgers.get(message.receiver()).recordCommitRefused(refuser)) {
			this.committedTo[message.receiver()] = null;
		}
	}

	private void die(int node, int other, int choice) {
		if (choice % 7 == 0) {
			this.dead[node] = true;
		}
		else if (this.dead[other]) {
			this.ledgers.get(node).recordDispatcherLost(this.nodes.get(other));
		}
	}

	private enum Kind {

		OFFER, COMMIT, OUTCOMES, REFUSAL

	}

	private record Message(Kind kind, int sender, int receiver, List<KeySpacePart> parts) {
	}

}
