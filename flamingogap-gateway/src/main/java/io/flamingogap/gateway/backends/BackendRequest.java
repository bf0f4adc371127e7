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
 * @param remainingMillis the time that the server has to answer
 * @param account the name of the client account; empty if the route needs none
 * @param urgency the urgency among the requests of the server; 0 is served first
 * @param lastEventId the id of the last event that the caller received; the server
 * resumes a broken stream after it
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
