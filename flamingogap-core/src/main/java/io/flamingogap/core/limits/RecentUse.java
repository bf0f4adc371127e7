package io.flamingogap.core.limits;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The connections that a node has accepted, and the decision which of them to close when
 * there are more than it may have.
 * <p>
 * Not thread-safe.
 *
 * @param <T> a connection
 */
public final class RecentUse<T> {

	private final int maxConnections;

	/** The one that was used last comes last. */
	private final Set<T> connections = new LinkedHashSet<>();

	/**
	 * Create a record without connections.
	 * @param maxConnections the limit
	 */
	public RecentUse(int maxConnections) {
		if (maxConnections < 1) {
			throw new IllegalArgumentException("maxConnections must be positive but was " + maxConnections);
		}
		this.maxConnections = maxConnections;
	}

	/**
	 * Record that a connection was opened or used.
	 * @param connection the connection
	 */
	public void use(T connection) {
		this.connections.remove(connection);
		this.connections.add(connection);
	}

	/**
	 * Record that a connection was closed.
	 * @param connection the connection
	 */
	public void remove(T connection) {
		this.connections.remove(connection);
	}

	/**
	 * Decide which connection to close next.
	 * @param isServing whether a request of a connection is being served
	 * @return the one that wasn't used for the longest time and whose request isn't being
	 * served, or else the newest; empty if the limit isn't exceeded
	 */
	public Optional<T> nextToClose(Predicate<T> isServing) {
		if (this.connections.size() <= this.maxConnections) {
			return Optional.empty();
		}
		Optional<T> idlest = this.connections.stream().filter(isServing.negate()).findFirst();
		return idlest.isPresent() ? idlest : this.connections.stream().reduce((earlier, later) -> later);
	}

	/**
	 * Return the connections.
	 * @return those that are open, the one that was used last at the end
	 */
	public Set<T> connections() {
		return Set.copyOf(this.connections);
	}

	/**
	 * Return the number of connections.
	 * @return how many are open
	 */
	public int size() {
		return this.connections.size();
	}

}
