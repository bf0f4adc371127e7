package io.flamingogap.measure;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.membership.MemberState;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.CommitResult;
import io.flamingogap.core.request.KeySpacePart;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.LedgerEntry;
import io.flamingogap.core.request.LedgerLimits;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.core.request.RequestLedger;
import io.flamingogap.daemon.nodes.Membership;
import io.flamingogap.daemon.nodes.NodeClients;
import io.flamingogap.daemon.nodes.NodeServer;
import io.flamingogap.daemon.nodes.PeerRequestHandler;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.settings.Settings;
import io.flamingogap.testkit.net.FreePorts;

/**
 * Measures the time to hand open requests and stored answers over to a successor through
 * Thrift calls.
 */
final class HandoverMeasure {

	private static final String SECRET = "a-secret-for-measuring";

	private static final int OPEN_REQUESTS = 1_000;

	private static final int[] STORED_ANSWERS = { 0, 10_000, 50_000 };

	private static final int BODY_BYTES = 1_024;

	private static final int ROUNDS = 5;

	private static final long TIMEOUT_MILLIS = 30_000;

	private static final LedgerLimits LIMITS = new LedgerLimits(1_000_000, 1L << 40, 60_000, 3_600_000, 60_000);

	private int lastIncarnation;

	void run() throws Exception {
		for (int storedAnswers : STORED_ANSWERS) {
			Report.title(OPEN_REQUESTS + " open requests and " + storedAnswers + " kept answers of " + BODY_BYTES
					+ " bytes");
			for (int round = 0; round < ROUNDS; round++) {
				measure(storedAnswers);
			}
		}
	}

	private void measure(int storedAnswers) throws Exception {
		NodeId issuer = new NodeId("entry-0", ++this.lastIncarnation);
		NodeId successor = new NodeId("entry-1", this.lastIncarnation);
		Address address = Address.parse("127.0.0.1:" + FreePorts.take(1).get(0));
		Clock clock = Clock.systemUTC();
		Member successorMember = new Member(successor, "zone-1", address, address, MemberState.SERVING, 1, false, null);
		Receiver receiver = new Receiver(new RequestLedger(successor, LIMITS));
		Configuration configuration = new Configuration(Set.of("ops"), (state) -> {
		});
		Settings.Nodes settings = new Settings.Nodes(SECRET, List.of(), 1, 1_000, 2_000);
		try (NodeServer server = NodeServer.create(settings, address, 60_000, new Membership(successorMember, clock),
				configuration, new Rollouts(successor, configuration::manifest, clock), receiver, clock)) {
			server.start();
			RequestLedger ledger = createFilledLedger(issuer, storedAnswers);
			NodeClients clients = new NodeClients(issuer, SECRET, clock);
			long startNanos = System.nanoTime();
			requireSuccess(clients.offer(successorMember, ledger.exportOffer(), TIMEOUT_MILLIS).isRight());
			long offeredNanos = System.nanoTime();
			requireSuccess(clients.commit(successorMember, ledger.commit(successor), TIMEOUT_MILLIS).isRight());
			long doneNanos = System.nanoTime();
			Report.row("offer %4d ms, commit %4d ms, taken over %d", millis(offeredNanos - startNanos),
					millis(doneNanos - offeredNanos), receiver.ledger.size());
		}
	}

	private static void requireSuccess(boolean succeeded) {
		if (!succeeded) {
			throw new IllegalStateException("the successor refused the offer or the commit, or was unreachable");
		}
	}

	private static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

	private static RequestLedger createFilledLedger(NodeId issuer, int storedAnswers) {
		RequestLedger ledger = new RequestLedger(issuer, LIMITS);
		long nowMillis = System.currentTimeMillis();
		byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.UTF_8);
		for (int i = 0; i < OPEN_REQUESTS + storedAnswers; i++) {
			RequestKey key = new RequestKey(issuer, nowMillis, "caller-part-" + i);
			ledger.admit(new KeyedRequest(key, "buyers", "POST", "/services/desk/bookings", "application/json", body,
					nowMillis + 60_000), nowMillis);
			if (i < storedAnswers) {
				ledger.startDispatch(key);
				ledger.recordAnswer(key, new Answer(201, "application/json", body));
			}
		}
		return ledger;
	}

	private record Receiver(RequestLedger ledger) implements PeerRequestHandler {

		@Override
		public Answer answerForwarded(KeyedRequest request) {
			throw new UnsupportedOperationException("the handover measurement forwards no requests");
		}

		@Override
		public Optional<LedgerEntry> find(RequestKey key, String account) {
			return this.ledger.find(key);
		}

		@Override
		public void receiveOffer(List<KeySpacePart> parts) {
			this.ledger.receiveOffer(parts);
		}

		@Override
		public CommitResult receiveCommit(List<KeySpacePart> parts) {
			return this.ledger.receiveCommit(parts);
		}

		@Override
		public void receiveOutcomes(List<KeySpacePart> parts) {
			this.ledger.receiveOutcomes(parts);
		}

	}

}
