package io.flamingogap.gateway.memory;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.flamingogap.core.limits.RecentUse;
import io.flamingogap.core.limits.RequestBytes;
import io.flamingogap.core.servers.ReturnTime;

/**
 * Limits the connections that a node accepts on all of its ports, and the memory for the
 * requests that it receives on them. Used on the event loop only.
 */
public final class AcceptedConnections {

	private final RecentUse<AcceptedConnection> use;

	private final RequestBytes<AcceptedConnection> requests;

	private final LongSupplier steadyMillis;

	private final Consumer<String> counter;

	private final RandomGenerator random;

	/**
	 * Create limits without connections.
	 * @param maxConnections the maximum number of connections
	 * @param maxRequestBytes the memory for requests, in bytes
	 * @param steadyMillis the monotonic clock, in milliseconds
	 * @param counter counts what was given up, by name
	 * @param random spreads the return times of refused callers
	 */
	public AcceptedConnections(int maxConnections, long maxRequestBytes, LongSupplier steadyMillis,
			Consumer<String> counter, RandomGenerator random) {
		this.use = new RecentUse<>(maxConnections);
		this.requests = new RequestBytes<>(maxRequestBytes);
		this.steadyMillis = steadyMillis;
		this.counter = counter;
		this.random = random;
	}

	/**
	 * Decide when a caller whose request was given up may come back.
	 * @return the delay in milliseconds
	 */
	public long returnMillis() {
		return ReturnTime.whenBusy(this.random.nextDouble());
	}

	/**
	 * Record that a connection was opened. Another one, or this one, is closed if there
	 * are too many.
	 * @param connection the connection
	 */
	public void opened(AcceptedConnection connection) {
		this.use.use(connection);
		for (Optional<AcceptedConnection> next = nextToClose(); next.isPresent(); next = nextToClose()) {
			this.use.remove(next.get());
			this.counter.accept("cut.connections");
			next.get().closeIdle();
		}
	}

	private Optional<AcceptedConnection> nextToClose() {
		return this.use.nextToClose(AcceptedConnection::isServing);
	}

	/**
	 * Record that bytes were read on a connection.
	 * @param connection the connection
	 */
	public void used(AcceptedConnection connection) {
		this.use.use(connection);
	}

	/**
	 * Record that a connection was closed.
	 * @param connection the connection
	 */
	public void closed(AcceptedConnection connection) {
		this.use.remove(connection);
		this.requests.setArriving(connection, 0, 0);
		this.requests.setComplete(connection, 0);
	}

	/**
	 * Set what a connection holds of a request that is arriving. Requests, among them
	 * this one, are given up while the limit is exceeded.
	 * @param connection the connection
	 * @param bytes the number of bytes; 0 for none
	 */
	public void setArriving(AcceptedConnection connection, long bytes) {
		this.requests.setArriving(connection, bytes, this.steadyMillis.getAsLong());
		for (Optional<AcceptedConnection> next = nextToRefuse(); next.isPresent(); next = nextToRefuse()) {
			this.requests.setArriving(next.get(), 0, 0);
			this.counter.accept("cut.arriving");
			next.get().refuseArriving();
		}
	}

	private Optional<AcceptedConnection> nextToRefuse() {
		return this.requests.nextToRefuse(this.steadyMillis.getAsLong());
	}

	/**
	 * Set what a connection holds of requests that have arrived.
	 * @param connection the connection
	 * @param bytes the number of bytes; 0 for none
	 */
	public void setComplete(AcceptedConnection connection, long bytes) {
		this.requests.setComplete(connection, bytes);
	}

	/**
	 * Return the memory for requests that is in use.
	 * @return the number of bytes
	 */
	public long requestBytes() {
		return this.requests.totalBytes();
	}

	/**
	 * Return the number of connections.
	 * @return how many are open
	 */
	public int size() {
		return this.use.size();
	}

	/**
	 * Return the number of connections on which bytes of an answer wait to be sent.
	 * @return the number now
	 */
	public int unsentAnswers() {
		return (int) this.use.connections().stream().filter(AcceptedConnection::hasUnsentBytes).count();
	}

}
