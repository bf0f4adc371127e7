package io.flamingogap.testkit.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;

/**
 * TCP relay from a port of its own to a server, with faults that a test switches on and
 * off. A fault is applied to all connections, or only to those that are open now.
 */
public final class FaultyLink implements AutoCloseable {

	private static final int BACKLOG = 128;

	private static final int BUFFER_BYTES = 16_384;

	/** Bounds the wait for the accepting thread, which does no lengthy work. */
	private static final long RELEASE_TIMEOUT_MILLIS = 5_000;

	private final int port = FreePorts.take(1).get(0);

	private final int targetPort;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final List<Relay> relays = new CopyOnWriteArrayList<>();

	private volatile LinkMode mode = LinkMode.PASS;

	private ServerSocket listener;

	private Future<?> acceptor;

	/**
	 * Start a link on a free port.
	 * @param target the server as {@code IP:PORT}; the server must be on loopback
	 */
	public FaultyLink(String target) {
		this.targetPort = Integer.parseInt(target.substring(target.lastIndexOf(':') + 1));
		this.listener = listen();
	}

	private ServerSocket listen() {
		try {
			ServerSocket socket = new ServerSocket(this.port, BACKLOG, InetAddress.getLoopbackAddress());
			this.acceptor = this.executor.submit(() -> accept(socket));
			return socket;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void accept(ServerSocket socket) {
		while (!socket.isClosed()) {
			try {
				Socket client = socket.accept();
				if (this.mode == LinkMode.CUT) {
					client.close();
				}
				else {
					open(client);
				}
			}
			catch (IOException ex) {
				if (socket.isClosed()) {
					return;
				}
			}
		}
	}

	private void open(Socket client) throws IOException {
		Socket server;
		try {
			server = new Socket(InetAddress.getLoopbackAddress(), this.targetPort);
		}
		catch (IOException ex) {
			client.close();
			return;
		}
		client.setTcpNoDelay(true);
		server.setTcpNoDelay(true);
		Relay relay = new Relay(client, server, this.mode);
		this.relays.add(relay);
		this.executor.execute(() -> relay.copy(client, server, LinkMode.DROP_REQUESTS));
		this.executor.execute(() -> relay.copy(server, client, LinkMode.DROP_REPLIES));
	}

	/**
	 * Set the mode of all open and new connections.
	 * @param newMode the mode
	 */
	public synchronized void setMode(LinkMode newMode) {
		this.mode = newMode;
		if (newMode == LinkMode.REFUSE) {
			closeListener();
		}
		else if (this.listener.isClosed()) {
			this.listener = listen();
		}
		this.relays.forEach((relay) -> relay.mode = newMode);
		if (newMode == LinkMode.CUT || newMode == LinkMode.REFUSE) {
			this.relays.forEach(Relay::close);
		}
		this.relays.removeIf((relay) -> relay.client.isClosed());
	}

	/**
	 * Drop all bytes of the open connections until the mode is set again. New connections
	 * use the current mode.
	 */
	public void silenceOpen() {
		this.relays.forEach((relay) -> relay.mode = LinkMode.SILENT);
	}

	/**
	 * Return the address of the link.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return "127.0.0.1:" + this.port;
	}

	@Override
	public synchronized void close() {
		closeListener();
		this.relays.forEach(Relay::close);
		this.executor.shutdownNow();
	}

	/**
	 * Close the listener and wait until the accepting thread has returned from the socket
	 * call: the kernel keeps the port bound as long as such a call is in progress.
	 */
	private void closeListener() {
		try {
			this.listener.close();
			this.acceptor.get(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("the accepting thread of port " + this.port + " did not stop", ex);
		}
	}

	private static final class Relay {

		private final Socket client;

		private final Socket server;

		private volatile LinkMode mode;

		private Relay(Socket client, Socket server, LinkMode mode) {
			this.client = client;
			this.server = server;
			this.mode = mode;
		}

		private void copy(Socket from, Socket to, LinkMode dropMode) {
			Predicate<LinkMode> dropsBytes = (current) -> current == dropMode || current == LinkMode.SILENT;
			try {
				InputStream in = from.getInputStream();
				OutputStream out = to.getOutputStream();
				byte[] buffer = new byte[BUFFER_BYTES];
				for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
					if (!dropsBytes.test(this.mode)) {
						out.write(buffer, 0, count);
						out.flush();
					}
				}
				if (!dropsBytes.test(this.mode)) {
					to.shutdownOutput();
				}
			}
			catch (IOException ex) {
				close();
			}
		}

		private void close() {
			try {
				this.client.close();
				this.server.close();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
