package io.flamingogap.testkit.metadata;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a faulty backend server, which answers each request with bytes that are no
 * answer until the connection is closed.
 */
public final class FloodingServer implements AutoCloseable {

	private static final int BACKLOG = 500;

	private final ServerSocket listener;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();

	private final AtomicInteger requests = new AtomicInteger();

	private final Flood flood;

	/**
	 * Start a server on a free port.
	 * @param flood what it sends
	 */
	public FloodingServer(Flood flood) {
		this.flood = flood;
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
				this.connections.add(socket);
				this.executor.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			FakeBackendServer.Request request = FakeBackendServer.Request.read(in);
			if (request != null) {
				this.requests.incrementAndGet();
				this.flood.send(request.header("attempt-id"), socket.getOutputStream());
				in.transferTo(OutputStream.nullOutputStream());
			}
		}
		catch (IOException ex) {
			// The client closed the connection, which is no error here.
		}
	}

	/**
	 * Return the address on which the server listens.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Return the number of requests that have arrived.
	 * @return the number so far
	 */
	public int requests() {
		return this.requests.get();
	}

	@Override
	public void close() {
		try {
			this.listener.close();
			for (Socket socket : this.connections) {
				socket.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		finally {
			this.executor.shutdownNow();
		}
	}

}
