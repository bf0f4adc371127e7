package io.flamingogap.testkit.backends;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Backend server with faults at the level of the connection. It counts connections and
 * the requests that it has read completely.
 */
public final class ScriptedServer implements AutoCloseable {

	/** Delay of {@link ServerScript#ANSWER_LATE} in milliseconds. */
	public static final long LATE_MILLIS = 600;

	private static final int BACKLOG = 64;

	/** Time between a response and the reset of its connection, in milliseconds. */
	private static final long RESET_MILLIS = 50;

	private static final String CONTENT_LENGTH = "content-length:";

	private final ServerSocket listener;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger requests = new AtomicInteger();

	private volatile ServerScript script;

	private volatile String response = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok";

	/**
	 * Start a server on a free port.
	 * @param script how requests are treated
	 */
	public ScriptedServer(ServerScript script) {
		this.script = script;
		try {
			this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.executor.execute(this::accept);
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				this.connections.incrementAndGet();
				this.open.add(socket);
				this.executor.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			if (this.script == ServerScript.RESPOND_EARLY_AND_RESET) {
				respondAndReset(socket, in);
				return;
			}
			for (int number = 0; readRequest(in); number++) {
				this.requests.incrementAndGet();
				if (!answer(socket.getOutputStream(), number)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection, which is no error here.
		}
	}

	private void respondAndReset(Socket socket, BufferedReader in) throws IOException {
		in.readLine();
		socket.getOutputStream().write(this.response.getBytes(StandardCharsets.ISO_8859_1));
		// Lets the response arrive before the reset.
		sleep(RESET_MILLIS);
		socket.setSoLinger(true, 0);
	}

	private static boolean readRequest(BufferedReader in) throws IOException {
		int length = 0;
		String line = in.readLine();
		if (line == null) {
			return false;
		}
		while (line != null && !line.isEmpty()) {
			String lower = line.toLowerCase(Locale.ROOT);
			if (lower.startsWith(CONTENT_LENGTH)) {
				length = Integer.parseInt(lower.substring(CONTENT_LENGTH.length()).strip());
			}
			line = in.readLine();
		}
		return length == 0 || in.read(new char[length]) == length;
	}

	private boolean answer(OutputStream out, int number) throws IOException {
		byte[] bytes = this.response.getBytes(StandardCharsets.ISO_8859_1);
		switch (this.script) {
			case READ_AND_CLOSE -> {
				return false;
			}
			case SILENT -> sleep(Long.MAX_VALUE);
			case ANSWER_LATE -> sleep(LATE_MILLIS);
			case ANSWER_TWICE -> out.write(bytes);
			case CLOSE_ON_REUSE -> {
				if (number > 0) {
					return false;
				}
			}
			default -> {
			}
		}
		out.write(bytes);
		out.flush();
		return this.script != ServerScript.RESPOND_AND_CLOSE;
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Change how requests are treated from now on.
	 * @param newScript how requests are treated
	 */
	public void setScript(ServerScript newScript) {
		this.script = newScript;
	}

	/**
	 * Set the response to the requests that arrive from now on.
	 * @param newResponse the bytes of the response, as ISO 8859-1
	 */
	public void setResponse(String newResponse) {
		this.response = newResponse;
	}

	/**
	 * Return the number of accepted connections.
	 * @return the number since the start
	 */
	public int connections() {
		return this.connections.get();
	}

	/**
	 * Return the number of requests that were read completely.
	 * @return the number since the start
	 */
	public int requests() {
		return this.requests.get();
	}

	/**
	 * Return the address on which the server listens.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	@Override
	public void close() {
		try {
			this.listener.close();
			for (Socket socket : this.open) {
				socket.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.executor.shutdownNow();
	}

}
