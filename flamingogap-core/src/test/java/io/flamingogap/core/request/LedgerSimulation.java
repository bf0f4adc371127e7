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
 * Simulation of three ledgers and the messages between them, driven by generated numbers.
 * Messages are lost, duplicated and reordered, nodes stop, and each node has its own
 * clock that jumps. Executions are counted where requests are sent, independently of the
 * ledgers.
 */
final class LedgerSimulation {

	/** The case label in {@link #step} for each draw; a repeated one is more likely. */
	private static final int[] ACTION_BY_DRAW = { 0, 0, 0, 1, 1, 1, 1, 2, 3, 4, 4, 4, 5, 6, 6, 7, 7, 8, 8, 8, 9, 9, 9,
			9, 9, 9, 9, 9, 10, 10, 11 };

	private static final long ISSUE_INTERVAL_MILLIS = 3_000;

	/** Half of the deliveries choose among this many of the newest messages. */
	private static final int RECENT_MESSAGE_COUNT = 3;

	private static final int NODE_COUNT = 3;

	private static final int KEY_COUNT = 3;

	private static final int[] CLOCK_STEPS_MILLIS = { -6_000, -3_000, 100, 700, 3_000, 6_000 };

	private final List<NodeId> nodes = new ArrayList<>();

	private final List<RequestLedger> ledgers = new ArrayList<>();

	private final long[] clockMillis = new long[NODE_COUNT];

	private final boolean[] stopped = new boolean[NODE_COUNT];

	private final NodeId[] committedTo = new NodeId[NODE_COUNT];

	private final List<Message> messages = new ArrayList<>();

	private final Map<RequestKey, Integer> possibleExecutions = new HashMap<>();

	private final Set<String> inFlight = new HashSet<>();

	private final Set<RequestKey> reportedNotRun = new HashSet<>();

	private final List<String> violations = new ArrayList<>();

	LedgerSimulation() {
		for (int i = 0; i < NODE_COUNT; i++) {
			this.nodes.add(LedgerFixtures.node(i));
			this.ledgers.add(new RequestLedger(this.nodes.get(i), LedgerFixtures.LIMITS));
		}
	}

	List<String> violations() {
		return this.violations;
	}

	/**
	 * Execute one action. Nodes that have stopped execute none.
	 * @param draw a non-negative number that selects the action
	 * @param node the index of the node that executes it
	 * @param choice a non-negative number that selects the key, the other node or the
	 * message
	 */
	void step(int draw, int node, int choice) {
		if (this.stopped[node]) {
			return;
		}
		RequestLedger ledger = this.ledgers.get(node);
		RequestKey key = key(choice);
		int other = (node + 1 + choice % (NODE_COUNT - 1)) % NODE_COUNT;
		switch (ACTION_BY_DRAW[draw % ACTION_BY_DRAW.length]) {
			case 0 -> admit(node, key);
			case 1 -> send(node, ledger, key);
			case 2 -> answer(node, ledger, key);
			case 3 -> loseAnswer(node, ledger, key);
			case 4 -> refuseConnection(node, ledger, key);
			case 5 -> cancel(ledger, key);
			case 6 -> this.messages.add(new Message(Kind.OFFER, node, other, ledger.exportOffer()));
			case 7 -> commit(node, ledger, other);
			case 8 -> sendOutcomes(node, ledger);
			case 9 -> deliver(choice);
			case 10 -> this.clockMillis[node] += CLOCK_STEPS_MILLIS[choice % CLOCK_STEPS_MILLIS.length];
			default -> stopOrDetectStop(node, other, choice);
		}
	}

	/**
	 * Return one of the keys: node 0 issues three keys of four, node 1 the others, node 2
	 * none.
	 * @param choice a non-negative number that selects the key
	 * @return the key
	 */
	private RequestKey key(int choice) {
		int number = choice % KEY_COUNT;
		return LedgerFixtures.key(this.nodes.get((choice / KEY_COUNT) % 4 / 3), number * ISSUE_INTERVAL_MILLIS, number);
	}

	private void admit(int node, RequestKey key) {
		Admission admission = this.ledgers.get(node).admit(LedgerFixtures.request(key), this.clockMillis[node]);
		if (admission instanceof Admission.Replay replay
				&& !Arrays.equals(replay.answer().body(), answerFor(key).body())) {
			this.violations.add("answer of another request replayed for " + key);
		}
	}

	private static Answer answerFor(RequestKey key) {
		return new Answer(201, "text/plain", key.toString().getBytes(StandardCharsets.UTF_8));
	}

	private void send(int node, RequestLedger ledger, RequestKey key) {
		if (!ledger.startDispatch(key)) {
			return;
		}
		this.inFlight.add(node + " " + key);
		if (this.possibleExecutions.merge(key, 1, Integer::sum) > 1) {
			this.violations.add("second execution of " + key + " at node " + node);
		}
		if (this.reportedNotRun.contains(key)) {
			this.violations.add("execution of " + key + " after it was reported as not run");
		}
	}

	private void answer(int node, RequestLedger ledger, RequestKey key) {
		if (this.inFlight.remove(node + " " + key)) {
			ledger.recordAnswer(key, answerFor(key));
		}
	}

	private void loseAnswer(int node, RequestLedger ledger, RequestKey key) {
		if (this.inFlight.remove(node + " " + key)) {
			ledger.recordUnknown(key);
		}
	}

	private void refuseConnection(int node, RequestLedger ledger, RequestKey key) {
		if (this.inFlight.remove(node + " " + key)) {
			this.possibleExecutions.merge(key, -1, Integer::sum);
			ledger.recordNotSent(key);
		}
	}

	private void cancel(RequestLedger ledger, RequestKey key) {
		if (ledger.cancel(key)) {
			this.reportedNotRun.add(key);
			if (this.possibleExecutions.getOrDefault(key, 0) > 0) {
				this.violations.add("not run reported for " + key + " after a possible execution");
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

	private void sendOutcomes(int node, RequestLedger ledger) {
		if (this.committedTo[node] != null) {
			int successor = this.nodes.indexOf(this.committedTo[node]);
			this.messages.add(new Message(Kind.OUTCOMES, node, successor, ledger.exportNewOutcomes()));
		}
	}

	/**
	 * Deliver a message without removing it, so that it may be delivered again.
	 */
	private void deliver(int choice) {
		if (this.messages.isEmpty()) {
			return;
		}
		int size = this.messages.size();
		int index = (choice % 2 == 0) ? choice / 2 % size
				: size - 1 - choice / 2 % Math.min(size, RECENT_MESSAGE_COUNT);
		Message message = this.messages.get(index);
		RequestLedger receiver = this.ledgers.get(message.receiver());
		if (this.stopped[message.receiver()]) {
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
		NodeId refusingNode = this.nodes.get(message.sender());
		if (this.ledgers.get(message.receiver()).recordCommitRefused(refusingNode)) {
			this.committedTo[message.receiver()] = null;
		}
	}

	private void stopOrDetectStop(int node, int other, int choice) {
		if (choice % 7 == 0) {
			this.stopped[node] = true;
		}
		else if (this.stopped[other]) {
			this.ledgers.get(node).recordDispatcherLost(this.nodes.get(other));
		}
	}

	private enum Kind {

		OFFER, COMMIT, OUTCOMES, REFUSAL

	}

	private record Message(Kind kind, int sender, int receiver, List<KeySpacePart> parts) {
	}

}
