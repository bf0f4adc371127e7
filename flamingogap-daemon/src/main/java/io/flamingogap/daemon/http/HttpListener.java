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
 * An HTTP listener with a bounded pool of threads. When all are taken the accepting
 * thread answers by itself, so that a caller is refused rather than left without an
 * answer.
 */
public final class HttpListener implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int BACKLOG = 1_024;

	private static final long IDLE_THREAD_SECONDS = 30;

	private final HttpServer server;

	private final ExecutorService executor;

	/**
	 * Bind a listener; it answers after {@link #start()}.
	 * @param address where to listen
	 * @param maxThreads the most exchanges at once
	 * @param handler what answers
	 * @throws IOException if the address can't be bound
	 */
	public HttpListener(Address address, int maxThreads, Handler handler) throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), BACKLOG);
		this.executor = new ThreadPoolExecutor(0, maxThreads, IDLE_THREAD_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>(), new ThreadPoolExecutor.CallerRunsPolicy());
		this.server.setExecutor(this.executor);
		this.server.createContext("/", (exchange) -> answer(exchange, handler));
	}

	private static void answer(HttpExchange exchange, Handler handler) {
		try (exchange) {
			handler.handle(exchange);
		}
		catch (IOException ex) {
			logger.atFine().withCause(ex).log("caller left during %s", exchange.getRequestURI().getPath());
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("unexpected failure of %s", exchange.getRequestURI().getPath());
			sendUnexpected(exchange);
		}
	}

	private static void sendUnexpected(HttpExchange exchange) {
		try {
			Exchanges.sendProblem(exchange, new Failure(ProblemType.OUTCOME_UNKNOWN, Step.ADMIT, "entry node",
					Execution.UNKNOWN, "unexpected failure of the entry node"));
		}
		catch (IOException ex) {
			logger.atFine().withCause(ex).log("caller left before the problem was sent");
		}
	}

	/**
	 * Begin to answer.
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
