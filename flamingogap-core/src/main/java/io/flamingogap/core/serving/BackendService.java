package io.flamingogap.core.serving;

import java.util.Objects;
import java.util.Optional;

/**
 * A group of backend servers that serve alike.
 *
 * @param name the name of the service
 * @param maxConnections the connections that a server takes from all entry nodes together
 * @param engine the profile of its model engines; empty for plain services
 * @param scale the bounds for orders of servers; empty if none may be ordered
 */
public record BackendService(String name, int maxConnections, Optional<EngineProfile> engine,
		Optional<ScaleBounds> scale) {

	public BackendService {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(engine, "engine must not be null");
		Objects.requireNonNull(scale, "scale must not be null");
	}

}
