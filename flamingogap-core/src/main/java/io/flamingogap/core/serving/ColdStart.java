package io.flamingogap.core.serving;

/**
 * What a backend server tolerates while it is cold.
 *
 * @param coldMillis how long a server is cold after its start, in milliseconds
 * @param requestsPerSecond the requests per second that a cold server tolerates from all
 * entry nodes together
 */
public record ColdStart(long coldMillis, double requestsPerSecond) {

	public ColdStart {
		if (coldMillis < 1) {
			throw new IllegalArgumentException("coldMillis must be positive but was " + coldMillis);
		}
		if (!(requestsPerSecond > 0) || Double.isInfinite(requestsPerSecond)) {
			throw new IllegalArgumentException(
					"requestsPerSecond must be positive and finite but was " + requestsPerSecond);
		}
	}

}
