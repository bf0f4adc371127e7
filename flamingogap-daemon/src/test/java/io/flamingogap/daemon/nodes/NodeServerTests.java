package io.flamingogap.daemon.nodes;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.membership.MemberState;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.CommitResult;
import io.flamingogap.core.request.KeySpacePart;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.LedgerEntry;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.settings.Settings;
import io.flamingogap.testkit.net.FreePorts;
import io.flamingogap.wire.Heartbeat;
import io.flamingogap.wire.NodeFault;
import io.flamingogap.wire.NodeService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

/**
 * Tests of {@link NodeServer}: which peers it accepts and which messages it refuses.
 */
class NodeServerTests {

	private static final String SECRET = "the-secret-of-the-fleet";

	private static final NodeId SELF = new NodeId("entry-0", 1);

	private static final NodeId PEER = new NodeId("entry-1", 2);

	private final Address address = new Address("127.0.0.1", FreePorts.take(1).get(0));

	private NodeServer server;

	@BeforeEach
	void startServer() throws TException {
		Clock clock = Clock.systemUTC();
		Member localMember = new Member(SELF, "zone-0", this.address, this.address, MemberState.SERVING, 1, false,
				null);
		Configuration configuration = new Configuration(Set.of("ops"), (state) -> {
		});
		this.server = NodeServer.create(new Settings.Nodes(SECRET, List.of(), 1, 1_000, 2_000), this.address, 2_000,
				new Membership(localMember, clock), configuration, new Rollouts(SELF, configuration::manifest, clock),
				new UnexpectedRequestHandler(), clock);
		this.server.start();
	}

	@AfterEach
	void stopServer() {
		this.server.close();
	}

	private static @Nullable TException thrownBy(ThriftCall call) {
		try {
			call.run();
			return null;
		}
		catch (TException ex) {
			return ex;
		}
	}

	@Test
	void peerThatProvesTheSecretIsAccepted() throws TException {
		try (NodeConnection connection = NodeConnection.open(this.address, PEER, SECRET, 1_000)) {
			assertThat(connection.peer(), is(SELF));
			assertThat(connection.client().configRecords(1, 1).size(), is(0));
		}
	}

	@Test
	void peerWithAnotherSecretIsRefused() {
		assertThat(thrownBy(() -> NodeConnection.open(this.address, PEER, "another-secret-0000", 1_000).close()),
				instanceOf(NodeFault.class));
	}

	@Test
	void callsBeforeAuthenticationAreRefused() throws TException {
		try (TSocket socket = new TSocket("127.0.0.1", this.address.port(), 1_000)) {
			TFramedTransport transport = new TFramedTransport(socket);
			transport.open();
			NodeService.Client client = new NodeService.Client(new TCompactProtocol(transport));
			Heartbeat heartbeat = new Heartbeat(1, 0, List.of(), List.of(), List.of());
			assertThat(thrownBy(() -> client.heartbeat(heartbeat)), instanceOf(NodeFault.class));
			assertThat(thrownBy(() -> client.commit(WireCodec.toWire(PEER), List.of())), instanceOf(NodeFault.class));
			assertThat(thrownBy(() -> client.configRecords(1, 1)), instanceOf(NodeFault.class));
		}
	}

	@Test
	void messageLargerThanTheLimitEndsTheConnection() throws TException {
		try (TSocket socket = new TSocket("127.0.0.1", this.address.port(), 1_000)) {
			socket.open();
			socket.write(new byte[] { 0x7f, 0x7f, 0x7f, 0x7f, 1, 2, 3, 4 });
			socket.flush();
			assertThat(thrownBy(() -> socket.read(new byte[1], 0, 1)), notNullValue());
		}
	}

	@FunctionalInterface
	private interface ThriftCall {

		void run() throws TException;

	}

	private static final class UnexpectedRequestHandler implements PeerRequestHandler {

		@Override
		public Answer answerForwarded(KeyedRequest request) {
			throw new IllegalStateException("unexpected forwarded request");
		}

		@Override
		public Optional<LedgerEntry> find(RequestKey key, String account) {
			return Optional.empty();
		}

		@Override
		public void receiveOffer(List<KeySpacePart> parts) {
			throw new IllegalStateException("unexpected offer");
		}

		@Override
		public CommitResult receiveCommit(List<KeySpacePart> parts) {
			throw new IllegalStateException("unexpected commit");
		}

		@Override
		public void receiveOutcomes(List<KeySpacePart> parts) {
			throw new IllegalStateException("unexpected outcomes");
		}

	}

}
