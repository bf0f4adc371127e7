package io.flamingogap.gateway.backends;

import java.util.Objects;
import java.util.Optional;

import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.callers.CallerRequest;

/**
 * A caller's request as it is sent to one backend server.
 *
 * @param request the caller's request
 * @param server the backend server to send it to
 * @param remainingMillis the time until the deadline of the request, in milliseconds
 * @param account the name of the client account; empty if the route needs none
 * @param urgency 0 for requests that the server processes first; greater values are less
 * urgent
 * @param lastEventId the id of the last event that the caller received, after which the
 * server resumes a broken stream; empty if there is none
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
