package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server answers before it has read a long body, without a length, and crashes in the
 * middle of its answer. The caller must not get the part as a complete success.
 */
final class CrashInEarlyAnswer {

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-desk","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":5000,
			"goalMs":386,"priority":1,"service":"wuno96b","maxAttempts":1,"public":true,"sticky":false,"canResume":false}],
			"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
			"tenants":[]}""";

	/** One of eight servers crashes, once: a share of 0.125. */
	private static final int SERVERS = 8;

	private static final int REQUESTS = 12;

	/** The request whose server crashes, counted from 1. */
	private static final int CRASH_AT = 6;

	/** Within the maxBodyBytes of the configuration, and more than the sockets buffer. */
	private static final int REQUEST_BODY_BYTES = 4_000_000;

	private static final int SERVER_RECEIVE_BUFFER_BYTES = 16_384;

	private static final byte[] ANSWER = "line of the answer\n".repeat(40).getBytes(StandardCharsets.US_ASCII);

	private CrashInEarlyAnswer() {
	}

	public static void main(String[] args) throws Exception {
		Harness.run(CrashInEarlyAnswer::holds);
	}

	private static boolean holds(Harness harness) throws Exception {
		harness.platform.put("keyed.op", "config", CONFIG);
		AtomicInteger begun = new AtomicInteger();
		List<Server> servers = new ArrayList<>();
		for (int i = 0; i < SERVERS; i++) {
			int index = i;
			servers.add(new Server(harness.platform, "i-desk" + i, "wuno96b", SERVER_RECEIVE_BUFFER_BYTES,
					(request, in, out, socket) -> {
						String attemptId = request.header("attempt-id");
						boolean crashes = harness.trouble && begun.incrementAndGet() == CRASH_AT;
						Harness.write(out, (Server.head(request, 200) + "Connection: close\r\n\r\n")
							.getBytes(StandardCharsets.ISO_8859_1));
						Harness.write(out, Arrays.copyOf(ANSWER, ANSWER.length / 2));
						Thread.sleep(400);
						if (crashes) {
							harness.log("server i-desk" + index + ": " + attemptId + " answered with "
									+ ANSWER.length / 2 + " of " + ANSWER.length + " bytes, then the server crashed");
							servers.get(index).close();
							socket.setSoLinger(true, 0);
							return false;
						}
						Harness.write(out, Arrays.copyOfRange(ANSWER, ANSWER.length / 2, ANSWER.length));
						Http.readBody(request, in);
						harness.log("server i-desk" + index + ": " + attemptId + " answered with " + ANSWER.length
								+ " bytes and closed its channel");
						return false;
					}));
		}
		Harness.Node node = harness.startNode("front-kolkata-a-1");
		Thread.sleep(5_000);
		boolean held = true;
		for (int i = 0; i < REQUESTS; i++) {
			held &= isSound(harness, node, "a000000000000%03x".formatted(i));
		}
		return held;
	}

	private static boolean isSound(Harness harness, Harness.Node node, String attemptId) throws Exception {
		try (Socket socket = node.connect(0)) {
			socket.setSoTimeout(10_000);
			Harness.write(socket.getOutputStream(),
					Harness.requestHead("/puxa403/2f", attemptId, 5_000, REQUEST_BODY_BYTES));
			Harness.write(socket.getOutputStream(), new byte[REQUEST_BODY_BYTES]);
			harness.log("client: " + attemptId + " sent, body of " + REQUEST_BODY_BYTES + " bytes");
			InputStream in = Harness.buffered(socket);
			Http.Head head;
			byte[] body;
			try {
				head = Http.readHead(in);
				if (head == null) {
					harness.log("client: " + attemptId + " got a closed channel");
					return true;
				}
				body = Http.readBody(head, in);
			}
			catch (IOException ex) {
				harness.log("client: " + attemptId + " got a broken answer: " + ex.getMessage());
				return true;
			}
			boolean success = head.status() / 100 == 2;
			boolean whole = Arrays.equals(body, ANSWER) && head.header("server-seal").equals(Server.SEAL);
			harness.log("client: " + attemptId + " got " + head.startLine() + " with the seal '"
					+ head.header("server-seal") + "', complete by its framing, " + body.length + " bytes; the server's body has "
					+ ANSWER.length);
			if (!harness.trouble) {
				Harness.check(success && whole, "without the crash the answer must arrive");
			}
			return !success || whole;
		}
	}

}
