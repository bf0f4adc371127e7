package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in for a backend server that is registered in the platform's store. */
final class Server implements AutoCloseable {

	static final String SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

	private final ServerSocket listener = new ServerSocket();

	private final String id;

	private final String service;

	private final Behaviour behaviour;

	private volatile boolean closed;

	/**
	 * Answers one request, whose body is not read yet. Returns whether the connection is
	 * kept.
	 */
	interface Behaviour {

		boolean answer(Http.Head request, InputStream in, OutputStream out, Socket socket) throws Exception;

	}

	Server(Platform platform, String id, String service, int receiveBufferBytes, Behaviour behaviour)
			throws IOException {
		this.id = id;
		this.service = service;
		this.behaviour = behaviour;
		if (receiveBufferBytes > 0) {
			this.listener.setReceiveBufferSize(receiveBufferBytes);
		}
		this.listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
		Harness.daemon("server " + id, this::accept);
		long born = System.currentTimeMillis();
		register(platform, born, 1);
		Harness.daemon("beats of " + id, () -> {
			for (int sequence = 2; !this.closed; sequence++) {
				Thread.sleep(1_200);
				register(platform, born, sequence);
			}
		});
	}

	private void register(Platform platform, long born, int sequence) {
		platform.put("keyed.servers", this.id,
				("{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"kolkata-a\",\"version\":\"v1\",\"slots\":48,"
						+ "\"state\":\"ready\",\"coldLeftMs\":0,\"born\":%d,\"seq\":%d}")
					.formatted(this.service, this.listener.getLocalPort(), born, sequence));
	}

	private void accept() throws IOException {
		while (true) {
			Socket socket = this.listener.accept();
			socket.setTcpNoDelay(true);
			Harness.daemon("connection of " + this.id, () -> serve(socket));
		}
	}

	private void serve(Socket socket) throws Exception {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				if (!this.behaviour.answer(head, in, socket.getOutputStream(), socket)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The node closed the connection.
		}
	}

	/** The head of an answer up to its framing. */
	static String head(Http.Head request, int status) {
		return "HTTP/1.1 " + status + " -\r\nAttempt-Id: " + request.header("attempt-id") + "\r\nServer-Seal: " + SEAL
				+ "\r\n";
	}

	/** Answer with a body that has a length, after the request was read. */
	static boolean answerWhole(Http.Head request, InputStream in, OutputStream out, byte[] body) throws IOException {
		Http.readBody(request, in);
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.writeBytes((head(request, 200) + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		message.writeBytes(body);
		out.write(message.toByteArray());
		out.flush();
		return true;
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listener.close();
	}

}
