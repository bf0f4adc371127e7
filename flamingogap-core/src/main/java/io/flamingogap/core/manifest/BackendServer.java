package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.Form;

/**
 * A backend server.
 *
 * @param name the name used by the cloud's notices and the instance list
 * @param service the service it answers for
 * @param version the version it runs
 * @param zone the availability zone it is in
 * @param address where it listens
 */
public record BackendServer(@Form(Form.NAME) String name, @Form(Form.NAME) String service,
		@Form(Form.NAME) String version, @Form(Form.NAME) String zone, @Form(Form.ADDRESS) String address) {
}
