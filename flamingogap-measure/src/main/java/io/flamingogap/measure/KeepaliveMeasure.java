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
 * Compares an acknowledgement per message with a heartbeat per connection: the processor
 * time per message, and the time to detect a silent connection.
 */
final class KeepaliveMeasure {

	private static final int MESSAGES = 100_000;

	private static final int PAYLOAD_BYTES = 200;

	/**
	 * Messages between two heartbeats, at 100 messages and one heartbeat per second.
	 */
	private static final int MESSAGES_PER_HEARTBEAT = 100;

	private static final int ROUNDS = 5;

	private static final int SILENCE_TIMEOUT_MILLIS = 600;

	private static final int HEARTBEAT_INTERVAL_MILLIS = 200;

	private static final int MESSAGE_INTERVAL_MILLIS = 10;

	private static final int DETECTION_TRIALS = 10;

	private final int port = FreePorts.take(1).get(0);

	private final byte[] payload = new byte[PAYLOAD_BYTES];

	void run() throws Exception {
		TThreadPoolServer server = createServer();
		Thread thread = new Thread(server::serve, "probe-server");
		thread.setDaemon(true);
		thread.start();
		TimeUnit.MILLISECONDS.sleep(200);
		Report.title("processor time a message of " + PAYLOAD_BYTES + " bytes, both ends, " + ROUNDS + " rounds of "
				+ MESSAGES);
		sendAll(true);
		sendAll(false);
		double[] acknowledgedMicros = new double[ROUNDS];
		double[] heartbeatMicros = new double[ROUNDS];
		for (int round = 0; round < ROUNDS; round++) {
			acknowledgedMicros[round] = sendAll(true);
			heartbeatMicros[round] = sendAll(false);
			Report.row("round %d: acknowledged %.2f us, heartbeat %.2f us, ratio %.2f", round + 1,
					acknowledgedMicros[round], heartbeatMicros[round],
					acknowledgedMicros[round] / heartbeatMicros[round]);
		}
		Report.title("time to find a silent link: timeout " + SILENCE_TIMEOUT_MILLIS + " ms, a message every "
				+ MESSAGE_INTERVAL_MILLIS + " ms, a heartbeat every " + HEARTBEAT_INTERVAL_MILLIS + " ms");
		Report.row("acknowledged: %s", formatDetectionTimes(true));
		Report.row("heartbeat:    %s", formatDetectionTimes(false));
		server.stop();
	}

	private TThreadPoolServer createServer() throws TException {
		TServerSocket socket = new TServerSocket(
				new TServerSocket.ServerSocketTransportArgs().port(this.port).clientTimeout(60_000));
		return new TThreadPoolServer(new TThreadPoolServer.Args(socket).processorFactory(new SessionFactory())
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
				throw new IllegalStateException(
						"the server did not receive all " + MESSAGES + " messages on an open connection");
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

	private String formatDetectionTimes(boolean acknowledge) throws Exception {
		StringBuilder times = new StringBuilder();
		for (int i = 0; i < DETECTION_TRIALS; i++) {
			times.append(measureDetectionMillis(acknowledge, i)).append(" ms ");
		}
		return times.toString();
	}

	private long measureDetectionMillis(boolean acknowledge, int trial) throws Exception {
		try (FaultyLink link = new FaultyLink("127.0.0.1:" + this.port)) {
			int linkPort = Integer.parseInt(link.address().substring(link.address().lastIndexOf(':') + 1));
			try (TSocket socket = new TSocket("127.0.0.1", linkPort, SILENCE_TIMEOUT_MILLIS)) {
				LinkProbe.Client client = open(socket);
				for (int i = 0; i < 20; i++) {
					sendNext(client, acknowledge, i);
				}
				long silentSinceNanos = System.nanoTime();
				link.setMode(LinkMode.SILENT);
				try {
					for (int i = 1
							+ trial * HEARTBEAT_INTERVAL_MILLIS / MESSAGE_INTERVAL_MILLIS / DETECTION_TRIALS;; i++) {
						sendNext(client, acknowledge, i);
					}
				}
				catch (TException ex) {
					return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silentSinceNanos);
				}
			}
		}
	}

	private void sendNext(LinkProbe.Client client, boolean acknowledge, int number) throws Exception {
		TimeUnit.MILLISECONDS.sleep(MESSAGE_INTERVAL_MILLIS);
		send(client, acknowledge, number);
		if (!acknowledge && number % (HEARTBEAT_INTERVAL_MILLIS / MESSAGE_INTERVAL_MILLIS) == 0) {
			client.heartbeat();
		}
	}

	private static final class SessionFactory extends TProcessorFactory {

		private SessionFactory() {
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
