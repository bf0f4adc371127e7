package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.StringPattern;

/**
 * Route of a plain service, matched by method and path.
 *
 * @param method the HTTP method
 * @param path the path below the prefix of the service; paths below it match as well,
 * unless it ends with a slash and is not {@code /}
 * @param repeatable whether a request may be executed more than once
 */
public record Route(@StringPattern("GET|POST|PUT|DELETE|PATCH") String method,
		@StringPattern(StringPattern.PATH) String path, boolean repeatable) {

	/**
	 * Return whether the route matches a request.
	 * @param requestMethod the HTTP method of the request
	 * @param requestPath the path of the request below the prefix of the service
	 * @return {@code true} if the method is the same and the path is that of the route or
	 * below it
	 */
	public boolean matches(String requestMethod, String requestPath) {
		return this.method.equals(requestMethod) && (requestPath.equals(this.path)
				|| requestPath.startsWith(this.path.equals("/") ? "/" : this.path + "/"));
	}

}
