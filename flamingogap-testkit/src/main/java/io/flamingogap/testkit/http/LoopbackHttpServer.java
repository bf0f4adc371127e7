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
 * HTTP server on the loopback address that runs a handler for each exchange on a thread
 * of a cached pool.
 */
public final class LoopbackHttpServer implements AutoCloseable {

	private static final int BACKLOG = 1_024;

	private final HttpServer server;

	private final ExecutorService executor;

	/**
	 * Start a server that listens at once.
	 * @param port the port; 0 for any free one
	 * @param handler answers the exchanges; each is closed after it returns
	 */
	public LoopbackHttpServer(int port, Handler handler) {
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
	 * Return the port on which the server listens.
	 * @return the port
	 */
	public int port() {
		return this.server.getAddress().getPort();
	}

	/**
	 * Return the address on which the server listens.
	 * @return the address as {@code IP:PORT}
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
