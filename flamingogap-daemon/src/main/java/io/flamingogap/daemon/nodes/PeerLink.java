package io.flamingogap.daemon.nodes;

import java.util.List;

import com.google.common.flogger.FluentLogger;
import org.apache.thrift.TException;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogRecord;
import io.flamingogap.daemon.settings.Settings;
import io.flamingogap.wire.HeartbeatReply;

/**
 * Long-lived connection to a neighbour. It sends heartbeats at an interval, and
 * immediately when there are changes to send. If a reply takes longer than the configured
 * {@code silentMillis}, the connection is opened again. A neighbour to which that fails
 * repeatedly is marked as unreachable.
 */
final class PeerLink implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int RECORDS_PER_CALL = 200;

	private static final int FAILURES_BEFORE_UNREACHABLE = 2;

	private final Address address;

	private final NodeId self;

	private final Settings.Nodes settings;

	private final Gossip gossip;

	private final Membership membership;

	private final Configuration configuration;

	private final Thread thread;

	private @Nullable NodeId lastPeer;

	private boolean heartbeatRequested;

	private volatile boolean closed;

	private long heartbeatSequence;

	PeerLink(Address address, NodeId self, Settings.Nodes settings, Gossip gossip, Membership membership,
			Configuration configuration) {
		this.address = address;
		this.self = self;
		this.settings = settings;
		this.gossip = gossip;
		this.membership = membership;
		this.configuration = configuration;
		this.thread = new Thread(this::run, "peer-link-" + address);
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	/**
	 * Send the next heartbeat without waiting for the interval.
	 */
	synchronized void triggerHeartbeat() {
		this.heartbeatRequested = true;
		notifyAll();
	}

	private void run() {
		int failures = 0;
		while (!this.closed) {
			try (NodeConnection connection = NodeConnection.open(this.address, this.self, this.settings.sharedSecret(),
					(int) this.settings.silentMillis())) {
				failures = 0;
				this.lastPeer = connection.peer();
				exchangeHeartbeats(connection);
			}
			catch (TException | IllegalArgumentException ex) {
				failures++;
				logger.atFine().withCause(ex).log("link to %s failed", this.address);
				markUnreachableAfterFailures(failures);
				sleepBeforeRetry();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void markUnreachableAfterFailures(int failures) {
		NodeId peer = this.lastPeer;
		if (peer != null && failures >= FAILURES_BEFORE_UNREACHABLE) {
			this.membership.markUnreachable(peer);
		}
	}

	private void exchangeHeartbeats(NodeConnection connection) throws TException, InterruptedException {
		Gossip.SyncPosition position = Gossip.SyncPosition.START;
		while (!this.closed) {
			Gossip.Payload payload = this.gossip.payloadAfter(position);
			this.heartbeatSequence++;
			HeartbeatReply reply = connection.client()
				.heartbeat(this.gossip.heartbeat(this.heartbeatSequence, payload));
			position = payload.position();
			this.gossip.receive(reply);
			fetchConfigRecords(connection, reply.getConfigHead());
			awaitNextHeartbeat();
		}
	}

	private void fetchConfigRecords(NodeConnection connection, long peerHead) throws TException {
		while (this.configuration.state().headOffset() < peerHead) {
			long next = this.configuration.state().headOffset() + 1;
			List<LogRecord> records = connection.client()
				.configRecords(next, RECORDS_PER_CALL)
				.stream()
				.map((wire) -> new LogRecord(wire.getOffset(), wire.getBody()))
				.toList();
			this.configuration.apply(records);
			if (this.configuration.state().headOffset() < next) {
				return;
			}
		}
	}

	private synchronized void awaitNextHeartbeat() throws InterruptedException {
		if (!this.heartbeatRequested) {
			wait(this.settings.heartbeatMillis());
		}
		this.heartbeatRequested = false;
	}

	private void sleepBeforeRetry() {
		try {
			Thread.sleep(Math.min(this.settings.heartbeatMillis(), this.settings.silentMillis()) / 2);
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

}
