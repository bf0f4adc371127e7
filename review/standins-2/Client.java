import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a client. */
final class Client {

	private static final AtomicLong ATTEMPTS = new AtomicLong(System.nanoTime());

	private Client() {
	}

	static String newAttemptId() {
		return String.format("%016x", ATTEMPTS.incrementAndGet());
	}

	/** The answer to a request; status 0 if none came. */
	record Answer(int status, long millis, String body) {
	}

	static String head(String method, String path, String attemptId, long deadlineMillis, String key) {
		return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + attemptId + "\r\nDeadline-Ms: "
				+ deadlineMillis + "\r\n" + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n");
	}

	/** Sends a request on a new channel and waits for its answer. */
	static Answer send(InetSocketAddress node, String request, long waitMillis) {
		long startNanos = System.nanoTime();
		try (Socket socket = new Socket()) {
			socket.connect(node, 1_000);
			socket.setSoTimeout((int) waitMillis);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			Backend.Request answer = Backend.Request.read(new BufferedInputStream(socket.getInputStream()));
			long millis = (System.nanoTime() - startNanos) / 1_000_000;
			return (answer == null) ? new Answer(-1, millis, "")
					: new Answer(answer.status(), millis, new String(answer.body, StandardCharsets.ISO_8859_1).strip());
		}
		catch (SocketTimeoutException ex) {
			return new Answer(0, (System.nanoTime() - startNanos) / 1_000_000, "");
		}
		catch (IOException ex) {
			return new Answer(-1, (System.nanoTime() - startNanos) / 1_000_000, "");
		}
	}

}
