import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a backend server. It registers itself in the store and answers one request at a time on a channel. */
class Backend {

	final String id;

	private final ServerSocket listener;

	private final Fleet fleet;

	private final String registration;

	private final AtomicLong sequence = new AtomicLong();

	Backend(Fleet fleet, String id, String service, String host, String zone, int slots) throws IOException {
		this.id = id;
		this.fleet = fleet;
		this.listener = new ServerSocket();
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 1_024);
		this.registration = "{\"service\":\"" + service + "\",\"addr\":\"" + host + ":" + this.listener.getLocalPort()
				+ "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
				+ ",\"state\":\"ready\",\"coldLeftMs\":0,\"born\":" + System.currentTimeMillis() + ",\"seq\":";
		daemon(this::beat);
		daemon(this::accept);
	}

	static void daemon(Runnable task) {
		Thread thread = new Thread(null, task, "stand-in", 262_144);
		thread.setDaemon(true);
		thread.start();
	}

	private void beat() {
		try {
			while (true) {
				this.fleet.store.put("keyed.servers", this.id, this.registration + this.sequence.incrementAndGet() + "}");
				Thread.sleep(1_200);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				daemon(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The stand-in ends.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
			for (Request request = Request.read(in); request != null; request = Request.read(in)) {
				if (!this.id.equals(request.headers.get("expect-instance"))) {
					write(socket.getOutputStream(), "421 Misdirected Request", request, "", "");
					return;
				}
				answer(request, socket.getOutputStream());
			}
		}
		catch (IOException ex) {
			// The node has closed the channel.
		}
	}

	/** Runs a request and answers it. */
	protected void answer(Request request, OutputStream out) throws IOException {
		write(out, "200 OK", request, "Server-Seal: seal-" + request.headers.get("attempt-id") + "\r\n", "done\n");
	}

	static void write(OutputStream out, String status, Request request, String headers, String body) throws IOException {
		out.write(("HTTP/1.1 " + status + "\r\nAttempt-Id: " + request.headers.get("attempt-id") + "\r\n" + headers
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/** A request or a response as it was read from a channel. */
	static final class Request {

		String startLine = "";

		final Map<String, String> headers = new LinkedHashMap<>();

		byte[] body = new byte[0];

		/** Reads the next message; {@code null} at the end of the channel. */
		static Request read(InputStream in) throws IOException {
			Request message = new Request();
			message.startLine = readLine(in);
			if (message.startLine == null) {
				return null;
			}
			for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
				int colon = line.indexOf(':');
				message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			}
			message.body = in.readNBytes(Integer.parseInt(message.headers.getOrDefault("content-length", "0")));
			return message;
		}

		private static String readLine(InputStream in) throws IOException {
			StringBuilder line = new StringBuilder();
			for (int next = in.read(); next != '\n'; next = in.read()) {
				if (next < 0) {
					return null;
				}
				if (next != '\r') {
					line.append((char) next);
				}
			}
			return line.toString();
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

	}

}
