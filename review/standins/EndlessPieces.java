package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
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

	/** One of four engines sends one endless answer, after this many sound ones of all. */
	private static final int SOUND_STREAMS = 60;

	/** The request that gets the endless answer. */
	private static final String ENDLESS = "5cffffffffffffff";

	private static final int BOOKINGS = 60;

	private static final long TIMEOUT_MILLIS = 3_000;

	private static final byte[] PIECES = "1\r\nx\r\n".repeat(2_000).getBytes(StandardCharsets.ISO_8859_1);

	private EndlessPieces() {
	}

	public static void main(String[] args) throws Exception {
		Harness.run(EndlessPieces::holds);
	}

	private static boolean holds(Harness harness) throws Exception {
		harness.platform.put("keyed.op", "config", CONFIG);
		AtomicBoolean endlessSent = new AtomicBoolean();
		for (int i = 0; i < 4; i++) {
			String id = "i-engine" + i;
			new Server(harness.platform, id, "huvo11a", 0, (request, in, out, socket) -> {
				Http.readBody(request, in);
				Harness.write(out,
						(Server.head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
							.getBytes(StandardCharsets.ISO_8859_1));
				if (harness.trouble && request.header("attempt-id").equals(ENDLESS) && !endlessSent.getAndSet(true)) {
					sendWithoutEnd(harness, id, out);
				}
				Harness.write(out, "16\r\nid: 1\ndata: contract\n\n\r\n0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
				return true;
			});
		}
		for (int i = 0; i < 3; i++) {
			new Server(harness.platform, "i-desk" + i, "wuno96b", 0, (request, in, out, socket) -> Server
				.answerWhole(request, in, out, "booked".getBytes(StandardCharsets.US_ASCII)));
		}
		Harness.Node node = harness.startNode("front-kolkata-a-1");
		Thread.sleep(5_000);
		for (int i = 0; i < SOUND_STREAMS; i++) {
			stream(harness, node, "5c000000000000%02x".formatted(i));
			Thread.sleep(30);
		}
		Harness.daemon("stream client", () -> stream(harness, node, ENDLESS));
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
		if (!harness.trouble) {
			Harness.check(late.get() == 0, "without the endless answer every booking must be answered in time");
		}
		return !(late.get() >= 8 && late.get() > BOOKINGS / 4);
	}

	private static void sendWithoutEnd(Harness harness, String id, OutputStream out) throws IOException {
		long sent = 0;
		try {
			while (true) {
				out.write(PIECES);
				sent += PIECES.length / 6;
			}
		}
		finally {
			harness.log("server " + id + ": its channel was closed, after it had handed over " + sent
					+ " chunks of 1 byte of its answer");
		}
	}

	private static void stream(Harness harness, Harness.Node node, String attemptId) throws IOException {
		try (Socket socket = node.connect(0)) {
			socket.setSoTimeout(45_000);
			Harness.write(socket.getOutputStream(), Harness.requestHead("/pufi791/2f", attemptId, 15_000, 0));
			InputStream in = Harness.buffered(socket);
			Http.Head head = Http.readHead(in);
			harness.log("stream " + attemptId + " got " + ((head != null) ? head.startLine() : "a closed channel"));
			Harness.check(head != null, "closed channel");
			Http.readBody(head, in);
			Harness.check(head.status() == 200 || attemptId.equals(ENDLESS), "a sound stream must be answered");
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
		catch (IOException ex) {
			outcome = ex.toString();
		}
		long took = harness.elapsedMillis() - sentAt;
		if (took > TIMEOUT_MILLIS + 500) {
			late.incrementAndGet();
		}
		harness.log("booking " + attemptId + " sent at " + sentAt + ": " + outcome + " after " + took + " ms");
	}

}
