package io.flamingogap.core.manifest;

import java.util.List;
import java.util.Optional;

import io.flamingogap.core.toml.Default;
import io.flamingogap.core.toml.Range;
import io.flamingogap.core.toml.StringPattern;

/**
 * A service that entry nodes answer for.
 *
 * @param name the name; a model's is what callers send as {@code model}, a plain
 * service's is part of its path
 * @param kind what kind of backend server answers
 * @param version the version in use
 * @param targetMillis the latency target for the first token or the whole answer
 * @param tokenGapMillis the longest time between two tokens before another engine is
 * asked
 * @param routes the routes of a plain service
 */
public record Service(@StringPattern(StringPattern.NAME) String name, ServiceKind kind,
		@StringPattern(StringPattern.NAME) String version, @Range(min = 1, max = 600_000) long targetMillis,
		@Default("2000") @Range(min = 10, max = 60_000) long tokenGapMillis, @Default("") List<Route> routes) {

	/**
	 * Return the route that serves a call.
	 * @param method the HTTP method
	 * @param path the path below the service's prefix
	 * @return the first matching route, if any
	 */
	public Optional<Route> findRoute(String method, String path) {
		return this.routes.stream().filter((route) -> route.matches(method, path)).findFirst();
	}

}
