package review;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A new configuration moves a route to a service whose answers are longer. Clients must
 * get the whole answers of both services.
 */
final class MovedToLongAnswers {

	private static final String CONFIG = """
			{"version":%d,"routes":[
			{"name":"r-report","host":"ficu95.example","prefix":"/puxa403/","kind":"idempotent","timeoutMs":5000,
			"goalMs":2000,"priority":1,"service":"%s","maxAttempts":2,"public":true,"sticky":false,"canResume":false}],
			"services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false},
			{"name":"wuno97c","healthPath":"/healthz","maxConns":96,"proto":"h1","tls":false}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
			"tenants":[]}""";

	private static final byte[] SHORT_ANSWER = "line of a report\n".repeat(50).getBytes(StandardCharsets.US_ASCII);

	private static final byte[] LONG_ANSWER = Arrays
		.copyOf("line of a report\n".repeat(30_000).getBytes(StandardCharsets.US_ASCII), 400_000);

	private static final int REQUESTS_BEFORE = 10;

	private static final int REQUESTS_AFTER = 20;

	private MovedToLongAnswers() {
	}

	public static void main(String[] args) throws Exception {
		Harness.run(MovedToLongAnswers::holds);
	}

	private static boolean holds(Harness harness) throws Exception {
		harness.platform.put("keyed.op", "config", CONFIG.formatted(7, "wuno96b"));
		for (int i = 0; i < 3; i++) {
			new Server(harness.platform, "i-short" + i, "wuno96b", 0, (request, in, out, socket) -> answer(harness,
					request, in, out, SHORT_ANSWER));
			new Server(harness.platform, "i-long" + i, "wuno97c", 0, (request, in, out, socket) -> answer(harness,
					request, in, out, LONG_ANSWER));
		}
		Harness.Node node = harness.startNode("front-kolkata-a-1");
		Thread.sleep(5_000);
		int wrong = 0;
		for (int i = 0; i < REQUESTS_BEFORE + REQUESTS_AFTER; i++) {
			if (i == REQUESTS_BEFORE && harness.trouble) {
				harness.platform.put("keyed.op", "config", CONFIG.formatted(9, "wuno97c"));
				harness.log("the operator's version 9 moves the route to the other service");
				Thread.sleep(2_500);
			}
			wrong += isWhole(harness, node, "a000000000000%03x".formatted(i)) ? 0 : 1;
		}
		harness.log(wrong + " of " + (REQUESTS_BEFORE + REQUESTS_AFTER)
				+ " clients got a success whose body isn't the server's whole body");
		return wrong == 0;
	}

	private static boolean answer(Harness harness, Http.Head request, InputStream in, java.io.OutputStream out,
			byte[] body) throws Exception {
		harness.log("server: " + request.header("attempt-id") + " answered with " + body.length + " bytes");
		return Server.answerWhole(request, in, out, body);
	}

	private static boolean isWhole(Harness harness, Harness.Node node, String attemptId) throws Exception {
		try (Socket socket = node.connect(0)) {
			socket.setSoTimeout(6_000);
			Harness.write(socket.getOutputStream(), Harness.requestHead("/puxa403/2f", attemptId, 5_000, 0));
			InputStream in = Harness.buffered(socket);
			Http.Head head = Http.readHead(in);
			Harness.check(head != null, "the channel was closed without an answer");
			byte[] body = Http.readBody(head, in);
			harness.log("client: " + attemptId + " got " + head.startLine() + " with the seal '"
					+ head.header("server-seal") + "', complete by its framing, " + body.length + " bytes");
			Harness.check(head.status() == 200, "the request failed");
			return Arrays.equals(body, SHORT_ANSWER) || Arrays.equals(body, LONG_ANSWER);
		}
	}

}
