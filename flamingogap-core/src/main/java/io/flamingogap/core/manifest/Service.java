package io.flamingogap.core.manifest;

import java.util.List;
import java.util.Optional;

import io.flamingogap.core.toml.Default;
import io.flamingogap.core.toml.Range;
import io.flamingogap.core.toml.StringPattern;

/**
 * Service that callers reach through the entry nodes.
 *
 * @param name the unique name; callers send the name of a model as {@code model}, and the
 * name of a plain service as part of the path
 * @param kind the kind of backend servers that run the service
 * @param version the current version
 * @param targetMillis the latency target for the first token of a model or for the whole
 * answer of a plain service
 * @param tokenGapMillis the longest time between two tokens before another engine is
 * asked to continue the stream
 * @param routes the routes of a plain service; empty for a model
 */
public record Service(@StringPattern(StringPattern.NAME) String name, ServiceKind kind,
		@StringPattern(StringPattern.NAME) String version, @Range(min = 1, max = 600_000) long targetMillis,
		@Default("2000") @Range(min = 10, max = 60_000) long tokenGapMillis, @Default("") List<Route> routes) {

	/**
	 * Find the route of a request.
	 * @param method the HTTP method
	 * @param path the path below the prefix of the service
	 * @return the first route in the order of the manifest that matches; empty if none
	 * does
	 */
	public Optional<Route> findRoute(String method, String path) {
		return this.routes.stream().filter((route) -> route.matches(method, path)).findFirst();
	}

}
