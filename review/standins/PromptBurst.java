package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers send prompts of 72 kB over slow links: 215 at once on a calm day, 1.7 times as
 * many in the burst. Bookings on kept channels go on meanwhile and must be answered.
 */
final class PromptBurst {

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-draft","host":"ficu95.example","prefix":"/lohu930/","kind":"stream","timeoutMs":15000,
			"goalMs":1000,"priority":1,"service":"huvo11a","maxAttempts":1,"public":true,"sticky":true,"canResume":false,
			"gapAimMs":250},
			{"name":"r-desk","host":"ficu95.example","prefix":"/puxa403/","kind":"non_idempotent","timeoutMs":5000,
			"goalMs":386,"priority":0,"service":"wuno96b","maxAttempts":1,"public":true,"sticky":false,"canResume":false}],
			"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":290,"proto":"h1","tls":false},
			{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
			"tenants":[]}""";

	private static final int CALM_PROMPTS = 215;

	private static final double BURST = 1.7;

	/** The longest body of the site's longest kind of request. */
	private static final int PROMPT_BYTES = 72_000;

	/** A caller sends segments of 1,500 bytes, 30 kB a second. */
	private static final int STEPS = 48;

	private static final long STEP_MILLIS = 50;

	private static final int BOOKING_CLIENTS = 20;

	private static final long BOOKING_TIMEOUT_MILLIS = 5_000;

	private PromptBurst() {
	}

	public static void main(String[] args) throws Exception {
		Harness.run(PromptBurst::holds);
	}

	private static boolean holds(Harness harness) throws Exception {
		harness.platform.put("keyed.op", "config", CONFIG);
		AtomicInteger prompts = new AtomicInteger();
		for (int i = 0; i < 13; i++) {
			new Server(harness.platform, "i-engine" + i, "huvo11a", 0, (request, in, out, socket) -> {
				Http.readBody(request, in);
				prompts.incrementAndGet();
				Harness.write(out, (Server.head(request, 200)
						+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n16\r\nid: 1\ndata: contract\n\n\r\n0\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				return true;
			});
		}
		for (int i = 0; i < 3; i++) {
			new Server(harness.platform, "i-desk" + i, "wuno96b", 0, (request, in, out, socket) -> {
				harness.log("server: began " + request.header("attempt-id"));
				Thread.sleep(85);
				return Server.answerWhole(request, in, out, "booked".getBytes(StandardCharsets.US_ASCII));
			});
		}
		Harness.Node node = harness.startNode("front-kolkata-a-1");
		Thread.sleep(5_000);
		Outcomes outcomes = new Outcomes();
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < BOOKING_CLIENTS; i++) {
			String prefix = "b00000000000%02x".formatted(i);
			clients.add(Harness.daemon("client", () -> book(harness, node, prefix, outcomes)));
		}
		Thread.sleep(1_000);
		int callers = harness.trouble ? (int) Math.round(CALM_PROMPTS * BURST) : CALM_PROMPTS;
		harness.log(callers + " callers send a prompt of " + PROMPT_BYTES + " bytes each, over "
				+ STEPS * STEP_MILLIS + " ms");
		AtomicInteger answered = new AtomicInteger();
		AtomicInteger refused = new AtomicInteger();
		for (int i = 0; i < callers; i++) {
			String attemptId = "c000000000%06x".formatted(i);
			clients.add(Harness.daemon("caller", () -> prompt(node, attemptId, answered, refused)));
		}
		Thread.sleep(STEPS * STEP_MILLIS + BOOKING_TIMEOUT_MILLIS);
		outcomes.stop = true;
		for (Thread client : clients) {
			client.join(20_000);
		}
		harness.log(answered + " of " + callers + " prompts were answered with 200, " + refused
				+ " with another status; " + prompts + " reached a server");
		harness.log("bookings: " + outcomes.answered + " answered, " + outcomes.unanswered
				+ " without a final answer 0.5 s after the route's timeoutMs, " + outcomes.closed
				+ " whose kept channel was closed without an answer");
		Thread.sleep(10_000);
		harness.log("10 s after the last caller has left: the process "
				+ (node.process.isAlive() ? "runs" : "has ended by itself with status " + node.process.exitValue())
				+ ", readiness " + node.readiness() + ", log lines with OutOfMemoryError: "
				+ node.printed("OutOfMemoryError").size());
		boolean lost = outcomes.closed.get() > 3;
		boolean late = outcomes.unanswered.get() + outcomes.closed.get() >= 8;
		if (!harness.trouble) {
			Harness.check(!lost && !late && node.process.isAlive() && answered.get() == callers,
					"without the burst the bookings and the prompts must be answered");
		}
		return !lost && !late;
	}

	private static final class Outcomes {

		private final AtomicInteger answered = new AtomicInteger();

		private final AtomicInteger unanswered = new AtomicInteger();

		private final AtomicInteger closed = new AtomicInteger();

		private volatile boolean stop;

	}

	/** Send bookings one after the other on a kept channel, up to the first that isn't answered. */
	private static void book(Harness harness, Harness.Node node, String prefix, Outcomes outcomes) throws Exception {
		Socket socket = node.connect(0);
		socket.setSoTimeout((int) BOOKING_TIMEOUT_MILLIS + 500);
		InputStream in = Harness.buffered(socket);
		for (int i = 0; !outcomes.stop; i++) {
			String attemptId = prefix + "%02x".formatted(i);
			long sentAtMillis = harness.elapsedMillis();
			try {
				Harness.write(socket.getOutputStream(),
						Harness.requestHead("/puxa403/2f", attemptId, BOOKING_TIMEOUT_MILLIS, 0));
				Http.Head head = Http.readHead(in);
				if (head == null) {
					throw new IOException("the channel was closed");
				}
				Http.readBody(head, in);
				outcomes.answered.incrementAndGet();
				harness.log("client: " + attemptId + " answered with " + head.status() + " after "
						+ (harness.elapsedMillis() - sentAtMillis) + " ms");
				if (head.header("connection").equals("close")) {
					socket.close();
					socket = node.connect(0);
					socket.setSoTimeout((int) BOOKING_TIMEOUT_MILLIS + 500);
					in = Harness.buffered(socket);
				}
				Thread.sleep(200);
			}
			catch (java.net.SocketTimeoutException ex) {
				outcomes.unanswered.incrementAndGet();
				harness.log("client: " + attemptId + " has no answer after "
						+ (harness.elapsedMillis() - sentAtMillis) + " ms");
				return;
			}
			catch (IOException ex) {
				outcomes.closed.incrementAndGet();
				harness.log("client: " + attemptId + " has no answer: " + ex.getMessage());
				return;
			}
		}
	}

	private static void prompt(Harness.Node node, String attemptId, AtomicInteger answered,
			AtomicInteger refused) {
		try (Socket socket = node.connect(0)) {
			socket.setSoTimeout(4_000);
			Harness.write(socket.getOutputStream(), ("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: "
					+ attemptId + "\r\nModel: m\r\nToken-Counts: 11992,380\r\nPrompt-Prefix: 5c1e07a2:5382,"
					+ attemptId.substring(8) + ":6610\r\nDeadline-Ms: 15000\r\nContent-Length: " + PROMPT_BYTES
					+ "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int step = 0; step < STEPS; step++) {
				Harness.write(socket.getOutputStream(), new byte[PROMPT_BYTES / STEPS]);
				Thread.sleep(STEP_MILLIS);
			}
			InputStream in = Harness.buffered(socket);
			Http.Head head = Http.readHead(in);
			if (head != null) {
				Http.readBody(head, in);
				((head.status() == 200) ? answered : refused).incrementAndGet();
			}
		}
		catch (IOException | InterruptedException ex) {
			// Counted as not answered.
		}
	}

}
