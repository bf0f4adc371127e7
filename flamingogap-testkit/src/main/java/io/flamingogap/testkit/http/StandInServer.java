package io.flamingogap.testkit.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An HTTP server on loopback that hands each exchange to a handler on a thread of its
 * own.
 */
public final class StandInServer implements AutoCloseable {

	private static final int BACKLOG = 1_024;

	private final HttpServer server;

	private final ExecutorService executor;

	/**
	 * Start a server.
	 * @param port the port; 0 for a free one
	 * @param handler what answers
	 */
	public StandInServer(int port, Handler handler) {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		this.executor = Executors.newCachedThreadPool();
		try {
			InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
			this.server = HttpServer.create(address, BACKLOG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("can't listen on port " + port, ex);
		}
		this.server.createContext("/", (exchange) -> {
			try (exchange) {
				handler.handle(exchange);
			}
		});
		this.server.setExecutor(this.executor);
		this.server.start();
	}

	/**
	 * Return the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return this.server.getAddress().getPort();
	}

	/**
	 * Return the address that the server listens on.
	 * @return the IP number and port
	 */
	public String address() {
		return "127.0.0.1:" + port();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	/**
	 * Answers one exchange.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Answer an exchange.
		 * @param exchange the exchange
		 * @throws IOException if the connection breaks
		 */
		void handle(HttpExchange exchange) throws IOException;

	}

}
