package review;

import java.io.IOException;
import java.io.InputStream;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;
import jdk.incubator.foreign.MemoryAddress;
import jdk.incubator.foreign.MemorySegment;
import jdk.incubator.foreign.ResourceScope;

/**
 * Clients read answers at 10 kB a second for 5 s and at 100 kB a second after that, over
 * connections with the segment size of an Ethernet. The node is stopped meanwhile, and has the time to deliver every answer.
 */
final class SlowReaderAtStop {

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-desk","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":15000,
			"goalMs":386,"priority":1,"service":"wuno96b","maxAttempts":1,"public":true,"sticky":false,"canResume":false}],
			"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
			"tenants":[]}""";

	private static final int CLIENTS = 24;

	private static final int ANSWER_BYTES = 260_000;

	private static final int SLOW_BYTES_PER_SECOND = 10_000;

	private static final int FAST_BYTES_PER_SECOND = 100_000;

	private static final long SLOW_MILLIS = 5_000;

	private static final int READ_BYTES = 1_000;

	/** At the stop each client needs 6.7 s for the rest of its answer; graceS is 8. */
	private static final int READ_BEFORE_STOP_BYTES = 4_000;

	private static final int SEGMENT_BYTES = 1_448;

	private static final int RECEIVE_BUFFER_BYTES = 2_304;

	private SlowReaderAtStop() {
	}

	public static void main(String[] args) throws Exception {
		Harness.run(SlowReaderAtStop::holds);
	}

	private static boolean holds(Harness harness) throws Exception {
		harness.platform.put("keyed.op", "config", CONFIG);
		byte[] answer = new byte[ANSWER_BYTES];
		for (int i = 0; i < 3; i++) {
			new Server(harness.platform, "i-desk" + i, "wuno96b", 0, (request, in, out, socket) -> {
				boolean kept = Server.answerWhole(request, in, out, answer);
				harness.log("server: " + request.header("attempt-id") + " answered with " + answer.length + " bytes");
				return kept;
			});
		}
		Harness.Node node = harness.startNode("front-kolkata-a-1");
		Thread.sleep(5_000);
		AtomicInteger lost = new AtomicInteger();
		AtomicInteger readyForStop = new AtomicInteger();
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			String attemptId = "a000000000000%03x".formatted(i);
			clients.add(Harness.daemon("client", () -> read(harness, node, attemptId, readyForStop, lost)));
		}
		long until = harness.elapsedMillis() + 10_000;
		while (readyForStop.get() < CLIENTS) {
			Harness.check(harness.elapsedMillis() < until, "the clients have no answer to read");
			Thread.sleep(20);
		}
		if (harness.trouble) {
			node.terminate();
		}
		long stoppedAt = harness.elapsedMillis();
		Harness.daemon("watch", () -> {
			node.process.waitFor();
			harness.log("the node's process ended " + (harness.elapsedMillis() - stoppedAt) + " ms after the stop began");
		});
		for (Thread client : clients) {
			client.join(30_000);
		}
		harness.log(lost + " of " + CLIENTS + " answers ended before they were complete");
		if (!harness.trouble) {
			Harness.check(lost.get() == 0 && node.process.isAlive(), "without the stop every answer must arrive");
		}
		return lost.get() == 0;
	}

	private static void read(Harness harness, Harness.Node node, String attemptId, AtomicInteger readyForStop,
			AtomicInteger lost) throws Exception {
		try (SocketChannel channel = SocketChannel.open()) {
			channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
			setSegmentBytes(channel);
			channel.connect(node.callerAddress());
			long sentAt = harness.elapsedMillis();
			channel.write(ByteBuffer.wrap(Harness.requestHead("/puxa403/2f", attemptId, 15_000, 0)));
			InputStream in = new Throttled(Channels.newInputStream(channel), readyForStop);
			try {
				Http.Head head = Http.readHead(in);
				byte[] body = Http.readBody(head, in);
				Harness.check(body.length == ANSWER_BYTES, "an answer of " + body.length + " bytes");
				harness.log("client: " + attemptId + " got " + head.startLine() + " and all " + body.length + " bytes in "
						+ (harness.elapsedMillis() - sentAt) + " ms");
			}
			catch (IOException ex) {
				lost.incrementAndGet();
				harness.log("client: " + attemptId + " got an answer that ends early, " + ((Throttled) in).readBytes
						+ " bytes with the head, of a body of " + ANSWER_BYTES + ": " + ex.getMessage() + ", "
						+ (harness.elapsedMillis() - sentAt) + " ms after it was sent");
			}
		}
	}

	/** Limit the segments of a connection to those of an Ethernet, as setsockopt TCP_MAXSEG. */
	private static void setSegmentBytes(SocketChannel channel) throws Exception {
		int tcp = 6;
		int maxSegment = 2;
		Field descriptor = channel.getClass().getDeclaredField("fdVal");
		descriptor.setAccessible(true);
		MethodHandle setsockopt = CLinker.getInstance()
			.downcallHandle(CLinker.systemLookup().lookup("setsockopt").orElseThrow(),
					MethodType.methodType(int.class, int.class, int.class, int.class, MemoryAddress.class, int.class),
					FunctionDescriptor.of(CLinker.C_INT, CLinker.C_INT, CLinker.C_INT, CLinker.C_INT, CLinker.C_POINTER,
							CLinker.C_INT));
		try (ResourceScope scope = ResourceScope.newConfinedScope()) {
			MemorySegment value = MemorySegment.allocateNative(4, scope);
			value.asByteBuffer().order(ByteOrder.nativeOrder()).putInt(SEGMENT_BYTES);
			int result = (int) setsockopt.invokeExact(descriptor.getInt(channel), tcp, maxSegment, value.address(), 4);
			Harness.check(result == 0, "setsockopt failed");
		}
		catch (Throwable ex) {
			throw new IllegalStateException("the segment size can't be set", ex);
		}
	}

	/** Reads at a constant rate. */
	private static final class Throttled extends InputStream {

		private final InputStream source;

		private final AtomicInteger readyForStop;

		private final byte[] buffer = new byte[READ_BYTES];

		private int position;

		private int length;

		private final long startedAtNanos = System.nanoTime();

		private long nextAtNanos = this.startedAtNanos;

		private int readBytes;

		private Throttled(InputStream source, AtomicInteger readyForStop) {
			this.source = source;
			this.readyForStop = readyForStop;
		}

		@Override
		public int read() throws IOException {
			if (this.position == this.length) {
				this.position = 0;
				this.length = fill();
				if (this.length <= 0) {
					this.length = 0;
					return -1;
				}
				int before = this.readBytes;
				this.readBytes += this.length;
				if (before < READ_BEFORE_STOP_BYTES && this.readBytes >= READ_BEFORE_STOP_BYTES) {
					this.readyForStop.incrementAndGet();
				}
			}
			return Byte.toUnsignedInt(this.buffer[this.position++]);
		}

		private int fill() throws IOException {
			try {
				long waitNanos = this.nextAtNanos - System.nanoTime();
				if (waitNanos > 0) {
					TimeUnit.NANOSECONDS.sleep(waitNanos);
				}
			}
			catch (InterruptedException ex) {
				throw new IOException(ex);
			}
			int count = this.source.read(this.buffer);
			boolean slow = System.nanoTime() - this.startedAtNanos < TimeUnit.MILLISECONDS.toNanos(SLOW_MILLIS);
			this.nextAtNanos += TimeUnit.SECONDS.toNanos(1) * Math.max(1, count)
					/ (slow ? SLOW_BYTES_PER_SECOND : FAST_BYTES_PER_SECOND);
			return count;
		}

	}

}
