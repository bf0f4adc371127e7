package io.flamingogap.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.node.Address;

/**
 * An HTTP listener with a bounded thread pool. If all threads are busy, the thread that
 * accepts connections runs the handler itself, so that the caller receives a refusal and
 * not a timeout.
 */
public final class HttpListener implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int ACCEPT_BACKLOG = 1_024;

	private static final long IDLE_THREAD_TIMEOUT_SECONDS = 30;

	private final HttpServer server;

	private final ExecutorService executor;

	/**
	 * Create a listener and bind it to its address. Requests are handled after
	 * {@link #start()} is called.
	 * @param address the address to bind
	 * @param maxThreads the maximum number of exchanges in the thread pool at once
	 * @param handler the handler of all exchanges
	 * @throws IOException if the address can't be bound
	 */
	public HttpListener(Address address, int maxThreads, Handler handler) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), ACCEPT_BACKLOG);
		this.executor = new ThreadPoolExecutor(0, maxThreads, IDLE_THREAD_TIMEOUT_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>(), new ThreadPoolExecutor.CallerRunsPolicy());
		this.server.setExecutor(this.executor);
		this.server.createContext("/", (exchange) -> handle(exchange, handler));
	}

	private static void handle(HttpExchange exchange, Handler handler) {
		try (exchange) {
			handler.handle(exchange);
		}
		catch (IOException ex) {
			logger.atFine()
				.withCause(ex)
				.log("caller closed the connection during %s", exchange.getRequestURI().getPath());
		}
		catch (RuntimeException ex) {
			logger.atSevere()
				.withCause(ex)
				.log("unexpected failure while handling %s", exchange.getRequestURI().getPath());
			sendUnexpectedFailure(exchange);
		}
	}

	private static void sendUnexpectedFailure(HttpExchange exchange) {
		try {
			Exchanges.sendProblem(exchange, new Failure(ProblemType.OUTCOME_UNKNOWN, Step.ADMIT, "entry node",
					Execution.UNKNOWN, "unexpected failure of the entry node"));
		}
		catch (IOException ex) {
			logger.atFine().withCause(ex).log("caller closed the connection before the problem document was sent");
		}
	}

	/**
	 * Start to handle requests.
	 */
	public void start() {
		this.server.start();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	/**
	 * Handles HTTP exchanges.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Send the response of an exchange.
		 * @param exchange the exchange, which the listener closes afterwards
		 * @throws IOException if the connection breaks
		 */
		void handle(HttpExchange exchange) throws IOException;

	}

}
