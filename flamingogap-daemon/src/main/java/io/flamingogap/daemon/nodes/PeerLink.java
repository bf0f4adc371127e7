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
 * One long-lived connection to a neighbour. A heartbeat goes out at an interval, and at
 * once when this node has news; a connection without an answer for the silent time is
 * opened anew, and a neighbour that can't be reached again is reported as lost.
 */
final class PeerLink implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int RECORDS_PER_CALL = 200;

	private static final int FAILURES_BEFORE_LOST = 2;

	private final Address address;

	private final NodeId self;

	private final Settings.Nodes settings;

	private final Gossip gossip;

	private final Membership membership;

	private final Configuration configuration;

	private final Thread thread;

	private @Nullable NodeId lastPeer;

	private boolean news;

	private volatile boolean closed;

	private long heartbeats;

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
	 * Send the next heartbeat at once.
	 */
	synchronized void triggerHeartbeat() {
		this.news = true;
		notifyAll();
	}

	private void run() {
		int failures = 0;
		while (!this.closed) {
			try (NodeConnection connection = NodeConnection.open(this.address, this.self, this.settings.sharedSecret(),
					(int) this.settings.silentMillis())) {
				failures = 0;
				this.lastPeer = connection.peer();
				exchange(connection);
			}
			catch (TException | IllegalArgumentException ex) {
				failures++;
				logger.atFine().withCause(ex).log("link to %s failed", this.address);
				reportIfLost(failures);
				awaitNews();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void reportIfLost(int failures) {
		NodeId peer = this.lastPeer;
		if (peer != null && failures >= FAILURES_BEFORE_LOST) {
			this.membership.reportLost(peer);
		}
	}

	private void exchange(NodeConnection connection) throws TException, InterruptedException {
		Gossip.Sent sent = Gossip.Sent.NOTHING;
		while (!this.closed) {
			Gossip.News news = this.gossip.newsAfter(sent);
			this.heartbeats++;
			HeartbeatReply reply = connection.client().heartbeat(this.gossip.heartbeat(this.heartbeats, news));
			sent = news.sent();
			this.gossip.receive(reply);
			fetchRecords(connection, reply.getConfigHead());
			sleepUntilNews();
		}
	}

	private void fetchRecords(NodeConnection connection, long peerHead) throws TException {
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

	private synchronized void sleepUntilNews() throws InterruptedException {
		if (!this.news) {
			wait(this.settings.heartbeatMillis());
		}
		this.news = false;
	}

	private void awaitNews() {
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
