package io.flamingogap.gateway.backends;

import java.util.Objects;
import java.util.Optional;

import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.callers.CallerRequest;

/**
 * A request on its way to one backend server.
 *
 * @param request the caller's request
 * @param server the server
 * @param remainingMillis the time that the server has
 * @param account the client account, if the route needs one
 * @param urgency the urgency among the requests of the server; 0 is first
 * @param lastEventId the last event that the caller has, to go on with a broken stream
 */
public record BackendRequest(CallerRequest request, ServerRegistration server, long remainingMillis,
		Optional<String> account, int urgency, Optional<String> lastEventId) {

	public BackendRequest {
		Objects.requireNonNull(request, "request must not be null");
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(lastEventId, "lastEventId must not be null");
	}

}
