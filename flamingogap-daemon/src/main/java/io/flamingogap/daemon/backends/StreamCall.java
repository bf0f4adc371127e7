package io.flamingogap.daemon.backends;

import java.util.Objects;

import io.flamingogap.core.manifest.Service;
import io.flamingogap.daemon.rollouts.VersionChoice;

/**
 * A request to a model service, whose answer is a token stream.
 *
 * @param choice the service and version to call
 * @param requestId the id of the request, which is the same at all engines
 * @param path the HTTP path at the engine
 * @param body the request as JSON
 * @param account the account of the caller
 * @param priority the priority; 0 is the most urgent
 * @param firstPosition the position of the first token that the caller lacks
 * @param deadlineMillis the caller's deadline on this node's clock, in milliseconds since
 * 1970 UTC
 */
public record StreamCall(VersionChoice choice, String requestId, String path, byte[] body, String account, int priority,
		long firstPosition, long deadlineMillis) {

	public StreamCall {
		Objects.requireNonNull(choice, "choice must not be null");
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(path, "path must not be null");
		Objects.requireNonNull(body, "body must not be null");
		Objects.requireNonNull(account, "account must not be null");
	}

	/**
	 * Return the model service that is called.
	 * @return the service
	 */
	public Service service() {
		return this.choice.service();
	}

	/**
	 * Return a copy of this request for another version of the service.
	 * @param other the service and version to call
	 * @return a request that is otherwise equal
	 */
	StreamCall withChoice(VersionChoice other) {
		return new StreamCall(other, this.requestId, this.path, this.body, this.account, this.priority,
				this.firstPosition, this.deadlineMillis);
	}

}
