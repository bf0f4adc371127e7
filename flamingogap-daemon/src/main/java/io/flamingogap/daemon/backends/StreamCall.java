package io.flamingogap.daemon.backends;

import java.util.Objects;

import io.flamingogap.core.manifest.Service;
import io.flamingogap.daemon.rollouts.VersionChoice;

/**
 * A request for a token stream.
 *
 * @param choice the version that answers
 * @param requestId the id of the request, the same at each engine that works on it
 * @param path the path at the engine
 * @param body the request as JSON
 * @param account the account that it is for
 * @param priority 0 for the most urgent work
 * @param firstPosition the position of the first token that the caller lacks
 * @param deadlineMillis when the caller stops waiting
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
	 * Return the model.
	 * @return the service
	 */
	public Service service() {
		return this.choice.service();
	}

	/**
	 * Return the same request answered by another version.
	 * @param other the version
	 * @return the request
	 */
	StreamCall with(VersionChoice other) {
		return new StreamCall(other, this.requestId, this.path, this.body, this.account, this.priority,
				this.firstPosition, this.deadlineMillis);
	}

}
