package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.StringPattern;

/**
 * A route of a plain service.
 *
 * @param method the HTTP method
 * @param path the path below the service's prefix; longer paths match as well
 * @param repeatable whether a call may be executed more than once
 */
public record Route(@StringPattern("GET|POST|PUT|DELETE|PATCH") String method,
		@StringPattern(StringPattern.PATH) String path, boolean repeatable) {

	/**
	 * Return whether the route serves a call.
	 * @param callMethod the HTTP method of the call
	 * @param callPath the path of the call below the service's prefix
	 * @return {@code true} if it does
	 */
	public boolean matches(String callMethod, String callPath) {
		return this.method.equals(callMethod)
				&& (callPath.equals(this.path) || callPath.startsWith(this.path.equals("/") ? "/" : this.path + "/"));
	}

}
