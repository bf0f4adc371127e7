package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.StringPattern;

/**
 * Backend server that runs one version of a service.
 *
 * @param name the unique name, which is also its name in the instance list and in the
 * notices of the cloud
 * @param service the name of the service
 * @param version the version of the service that it runs
 * @param zone the name of its availability zone
 * @param address the IP address and port at which it accepts requests
 */
public record BackendServer(@StringPattern(StringPattern.NAME) String name,
		@StringPattern(StringPattern.NAME) String service, @StringPattern(StringPattern.NAME) String version,
		@StringPattern(StringPattern.NAME) String zone, @StringPattern(StringPattern.ADDRESS) String address) {
}
