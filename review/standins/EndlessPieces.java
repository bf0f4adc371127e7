package review;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One server sends a stream without end that holds no end of an event, in chunks of a few
 * bytes. Meanwhile callers of another, sound service must get their final answers.
 */
final class EndlessPieces {

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-chat","host":"ficu95.example","prefix":"/pufi791/","kind":"stream","timeoutMs":15000,"goalMs":500,
			"priority":0,"service":"huvo11a","maxAttempts":2,"public":true,"sticky":true,"canResume":true,"gapAimMs":250},
			{"name":"r-desk","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":3000,
			"goalMs":243,"priority":1,"service":"wuno96b","maxAttempts":1,"public":true,"sticky":false,"canResume":false}],
			"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":290,"proto":"h1","tls":false},
			{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
			"tenants":[]}""";

	private static final int BOOKINGS = 60;

	private static final long TIMEOUT_MILLIS = 3_000;

	private EndlessPieces() {
	}

	public static void main(String[] args) throws Exception {
		Harness.run(EndlessPieces::holds);
	}

	private static boolean holds(Harness harness) throws Exception {
		harness.platform.put("keyed.op", "config", CONFIG);
		Server engine = new Server(harness.platform, "i-engine", "huvo11a", 0, (request, in, out, socket) -> {
			Http.readBody(request, in);
			byte[] head = (Server.head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1);
			Harness.write(out, head);
			if (!harness.trouble) {
				Harness.write(out, "c\r\nid: 1\ndata\n\n\r\n0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
				return true;
			}
			byte[] pieces = "1\r\nx\r\n".repeat(2_000).getBytes(StandardCharsets.ISO_8859_1);
			long sent = 0;
			try {
				while (true) {
					out.write(pieces);
					sent += 2_000;
				}
			}
			finally {
				harness.log("the node closed the channel of the endless answer, " + sent + " pieces of 1 byte handed over");
			}
		});
		Server desk = new Server(harness.platform, "i-desk", "wuno96b", 0,
				(request, in, out, socket) -> Server.answerWhole(request, in, out, "booked".getBytes()));
		try (engine; desk) {
			Harness.Node node = harness.startNode("front-kolkata-a-1");
			Thread.sleep(5_000);
			harness.log("client sends a request for a stream");
			Socket stream = node.connect(0);
			Harness.write(stream.getOutputStream(), Harness.requestHead("/pufi791/2f", "5c00000000000001", 15_000, 0));
			Harness.daemon("stream client", () -> {
				InputStream in = Harness.buffered(stream);
				Http.Head head = Http.readHead(in);
				harness.log("stream client got " + ((head != null) ? head.startLine() : "a closed channel"));
			});
			Thread.sleep(300);
			List<Thread> clients = new ArrayList<>();
			AtomicInteger late = new AtomicInteger();
			for (int i = 0; i < BOOKINGS; i++) {
				String attemptId = "b0000000000000%02x".formatted(i);
				clients.add(Harness.daemon("client", () -> book(harness, node, attemptId, late)));
				Thread.sleep(50);
			}
			for (Thread client : clients) {
				client.join(60_000);
			}
			harness.log(late + " of " + BOOKINGS + " bookings had no final answer " + (TIMEOUT_MILLIS + 500)
					+ " ms after they were sent");
			if (System.getenv("KEEP") != null) {
				node.keepOutput(java.nio.file.Path.of(System.getenv("KEEP")));
			}
			return !(late.get() >= 8 && late.get() > BOOKINGS / 4);
		}
	}

	private static void book(Harness harness, Harness.Node node, String attemptId, AtomicInteger late)
			throws Exception {
		long sentAt = harness.elapsedMillis();
		String outcome;
		try (Socket socket = node.connect(0)) {
			socket.setSoTimeout(45_000);
			Harness.write(socket.getOutputStream(), Harness.requestHead("/puxa403/2f", attemptId, TIMEOUT_MILLIS, 0));
			Http.Head head = Http.readHead(Harness.buffered(socket));
			outcome = (head != null) ? head.startLine() : "closed channel";
		}
		catch (java.io.IOException ex) {
			outcome = ex.toString();
		}
		long took = harness.elapsedMillis() - sentAt;
		if (took > TIMEOUT_MILLIS + 500) {
			late.incrementAndGet();
		}
		harness.log("booking " + attemptId + " sent at " + sentAt + ": " + outcome + " after " + took + " ms");
	}

}
