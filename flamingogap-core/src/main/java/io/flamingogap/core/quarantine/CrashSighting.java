package io.flamingogap.core.quarantine;

import java.util.Objects;
import java.util.Set;

/**
 * What one node saw of the crash of a server: the prompt parts and the requests that may
 * have caused it. Several nodes may see the same crash, each with its own requests.
 *
 * @param server the id of the server
 * @param startedAtMillis the start time of the run that crashed, in milliseconds since
 * 1970 UTC; 0 if unknown
 * @param service the service of the server
 * @param suspects the ids of the shared parts, and the fingerprints, of the node's
 * requests that the server had not survived beginning to answer
 */
public record CrashSighting(String server, long startedAtMillis, String service, Set<String> suspects) {

	public CrashSighting {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(service, "service must not be null");
		suspects = Set.copyOf(suspects);
	}

}
