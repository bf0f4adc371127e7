package io.flamingogap.core.serving;

import java.util.Objects;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight its share, relative to the other services of the route
 */
public record WeightedService(String service, double weight) {

	public WeightedService {
		Objects.requireNonNull(service, "service must not be null");
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("weight must not be negative but was " + weight);
		}
	}

}
