package io.flamingogap.measure;

import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.TProcessorFactory;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;

import io.flamingogap.testkit.net.FaultyLink;
import io.flamingogap.testkit.net.FreePorts;
import io.flamingogap.testkit.net.LinkMode;
import io.flamingogap.wire.probe.LinkProbe;

/**
 * An acknowledgement for each message against a heartbeat for each connection: processor
 * time a message, and the time to find that a link went silent.
 */
final class KeepaliveMeasure {

	private static final int MESSAGES = 100_000;

	private static final int PAYLOAD_BYTES = 200;

	/**
	 * Messages between two heartbeats, at 100 messages a second and a heartbeat a second.
	 */
	private static final int MESSAGES_PER_HEARTBEAT = 100;

	private static final int ROUNDS = 5;

	private static final int SILENT_MILLIS = 600;

	private static final int HEARTBEAT_MILLIS = 200;

	private static final int MESSAGE_MILLIS = 10;

	private static final int SILENCES = 10;

	private final int port = FreePorts.take(1).get(0);

	private final byte[] payload = new byte[PAYLOAD_BYTES];

	void run() throws Exception {
		TThreadPoolServer server = server();
		Thread thread = new Thread(server::serve, "probe-server");
		thread.setDaemon(true);
		thread.start();
		TimeUnit.MILLISECONDS.sleep(200);
		Report.title("processor time a message of " + PAYLOAD_BYTES + " bytes, both ends, " + ROUNDS + " rounds of "
				+ MESSAGES);
		sendAll(true);
		sendAll(false);
		double[] acknowledged = new double[ROUNDS];
		double[] vouched = new double[ROUNDS];
		for (int round = 0; round < ROUNDS; round++) {
			acknowledged[round] = sendAll(true);
			vouched[round] = sendAll(false);
			Report.row("round %d: acknowledged %.2f us, heartbeat %.2f us, ratio %.2f", round + 1, acknowledged[round],
					vouched[round], acknowledged[round] / vouched[round]);
		}
		Report.title("time to find a silent link: timeout " + SILENT_MILLIS + " ms, a message every " + MESSAGE_MILLIS
				+ " ms, a heartbeat every " + HEARTBEAT_MILLIS + " ms");
		Report.row("acknowledged: %s", detectionTimes(true));
		Report.row("heartbeat:    %s", detectionTimes(false));
		server.stop();
	}

	private TThreadPoolServer server() throws TException {
		TServerSocket socket = new TServerSocket(
				new TServerSocket.ServerSocketTransportArgs().port(this.port).clientTimeout(60_000));
		return new TThreadPoolServer(new TThreadPoolServer.Args(socket).processorFactory(new Sessions())
			.transportFactory(new TFramedTransport.Factory())
			.protocolFactory(new TCompactProtocol.Factory()));
	}

	private double sendAll(boolean acknowledge) throws TException {
		try (TSocket socket = new TSocket("127.0.0.1", this.port)) {
			LinkProbe.Client client = open(socket);
			long before = cpuNanos();
			for (int i = 0; i < MESSAGES; i++) {
				send(client, acknowledge, i);
				if (!acknowledge && i % MESSAGES_PER_HEARTBEAT == 0) {
					client.heartbeat();
				}
			}
			if (client.heartbeat() != MESSAGES) {
				throw new IllegalStateException("messages were lost on an open connection");
			}
			return (cpuNanos() - before) / 1_000.0 / MESSAGES;
		}
	}

	private static LinkProbe.Client open(TSocket socket) throws TException {
		TFramedTransport transport = new TFramedTransport(socket);
		transport.open();
		return new LinkProbe.Client(new TCompactProtocol(transport));
	}

	private void send(LinkProbe.Client client, boolean acknowledge, long sequence) throws TException {
		if (acknowledge) {
			client.publishAcknowledged(sequence, ByteBuffer.wrap(this.payload));
		}
		else {
			client.publish(sequence, ByteBuffer.wrap(this.payload));
		}
	}

	private static long cpuNanos() {
		return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
			.getProcessCpuTime();
	}

	private String detectionTimes(boolean acknowledge) throws Exception {
		StringBuilder times = new StringBuilder();
		for (int i = 0; i < SILENCES; i++) {
			times.append(detectionMillis(acknowledge, i)).append(" ms ");
		}
		return times.toString();
	}

	private long detectionMillis(boolean acknowledge, int trial) throws Exception {
		try (FaultyLink link = new FaultyLink("127.0.0.1:" + this.port)) {
			int linkPort = Integer.parseInt(link.address().substring(link.address().lastIndexOf(':') + 1));
			try (TSocket socket = new TSocket("127.0.0.1", linkPort, SILENT_MILLIS)) {
				LinkProbe.Client client = open(socket);
				for (int i = 0; i < 20; i++) {
					step(client, acknowledge, i);
				}
				long silentNanos = System.nanoTime();
				link.setMode(LinkMode.SILENT);
				try {
					for (int i = 1 + trial * HEARTBEAT_MILLIS / MESSAGE_MILLIS / SILENCES;; i++) {
						step(client, acknowledge, i);
					}
				}
				catch (TException ex) {
					return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silentNanos);
				}
			}
		}
	}

	private void step(LinkProbe.Client client, boolean acknowledge, int number) throws Exception {
		TimeUnit.MILLISECONDS.sleep(MESSAGE_MILLIS);
		send(client, acknowledge, number);
		if (!acknowledge && number % (HEARTBEAT_MILLIS / MESSAGE_MILLIS) == 0) {
			client.heartbeat();
		}
	}

	private static final class Sessions extends TProcessorFactory {

		private Sessions() {
			super(null);
		}

		@Override
		public TProcessor getProcessor(TTransport transport) {
			return new LinkProbe.Processor<>(new Session());
		}

	}

	private static final class Session implements LinkProbe.Iface {

		private long received;

		@Override
		public void publish(long sequence, ByteBuffer payload) {
			this.received++;
		}

		@Override
		public long publishAcknowledged(long sequence, ByteBuffer payload) {
			this.received++;
			return sequence;
		}

		@Override
		public long heartbeat() {
			return this.received;
		}

	}

}
