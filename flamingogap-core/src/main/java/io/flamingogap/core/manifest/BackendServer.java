package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.StringPattern;

/**
 * A backend server.
 *
 * @param name the name used by the cloud's notices and the instance list
 * @param service the service it answers for
 * @param version the version it runs
 * @param zone the availability zone it is in
 * @param address where it listens
 */
public record BackendServer(@StringPattern(StringPattern.NAME) String name,
		@StringPattern(StringPattern.NAME) String service, @StringPattern(StringPattern.NAME) String version,
		@StringPattern(StringPattern.NAME) String zone, @StringPattern(StringPattern.ADDRESS) String address) {
}
