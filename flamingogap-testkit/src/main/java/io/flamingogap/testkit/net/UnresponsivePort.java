package io.flamingogap.testkit.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * Port whose queue of new connections is full, so that attempts to connect to it get no
 * reply at all.
 */
public final class UnresponsivePort implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 200;

	private final ServerSocket listener;

	private final List<Socket> queued = new ArrayList<>();

	/**
	 * Listen on a free port of the loopback interface and fill its queue.
	 */
	public UnresponsivePort() {
		try {
			this.listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
			while (fillQueue()) {
				// The kernel accepts a few connections more than the backlog.
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private boolean fillQueue() throws IOException {
		Socket socket = new Socket();
		try {
			socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.listener.getLocalPort()),
					CONNECT_TIMEOUT_MILLIS);
			this.queued.add(socket);
			return true;
		}
		catch (SocketTimeoutException ex) {
			socket.close();
			return false;
		}
	}

	/**
	 * Return the address of the port.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	@Override
	public void close() {
		try {
			for (Socket socket : this.queued) {
				socket.close();
			}
			this.listener.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
