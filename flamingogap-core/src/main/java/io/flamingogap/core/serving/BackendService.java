package io.flamingogap.core.serving;

import java.util.Objects;
import java.util.Optional;

/**
 * Group of interchangeable backend servers.
 *
 * @param name the unique name that routes refer to
 * @param maxConnectionsPerServer the connections that one server accepts from all entry
 * nodes together
 * @param engine the properties of its model engines; empty for plain services
 * @param scale the bounds for ordering servers; empty if no servers may be ordered
 * @param coldStart what a server tolerates while it is cold; empty if it isn't slower
 * after its start
 */
public record BackendService(String name, int maxConnectionsPerServer, Optional<EngineProfile> engine,
		Optional<ScaleBounds> scale, Optional<ColdStart> coldStart) {

	public BackendService {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(engine, "engine must not be null");
		Objects.requireNonNull(scale, "scale must not be null");
		Objects.requireNonNull(coldStart, "coldStart must not be null");
	}

	/**
	 * Create a service whose servers are never cold.
	 * @param name the unique name that routes refer to
	 * @param maxConnectionsPerServer the connections that one server accepts from all
	 * entry nodes together
	 * @param engine the properties of its model engines; empty for plain services
	 * @param scale the bounds for ordering servers; empty if no servers may be ordered
	 */
	public BackendService(String name, int maxConnectionsPerServer, Optional<EngineProfile> engine,
			Optional<ScaleBounds> scale) {
		this(name, maxConnectionsPerServer, engine, scale, Optional.empty());
	}

}
