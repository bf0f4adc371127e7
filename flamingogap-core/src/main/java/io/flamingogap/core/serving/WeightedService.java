package io.flamingogap.core.serving;

import java.util.Objects;

/**
 * Service that receives a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight the share relative to the sum of the weights of the route; not negative
 */
public record WeightedService(String service, double weight) {

	public WeightedService {
		Objects.requireNonNull(service, "service must not be null");
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("weight must not be negative but was " + weight);
		}
	}

}
