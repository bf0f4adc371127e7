package io.flamingogap.core.quarantine;

import java.util.Collection;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The prompt parts that requests to a service are stopped for. A request is stopped only
 * if it has all of them: several parts stand in one rule if they were in the same
 * requests whenever servers crashed, so that nothing tells which of them is the cause.
 *
 * @param service the name of the service
 * @param parts the ids of the parts; at least one
 */
public record QuarantineRule(String service, SortedSet<String> parts) {

	public QuarantineRule {
		Objects.requireNonNull(service, "service must not be null");
		if (parts.isEmpty()) {
			throw new IllegalArgumentException("parts must not be empty");
		}
		parts = new TreeSet<>(parts);
	}

	/**
	 * Create a rule.
	 * @param service the name of the service
	 * @param parts the ids of the parts; at least one
	 * @return the rule
	 */
	public static QuarantineRule of(String service, Collection<String> parts) {
		return new QuarantineRule(service, new TreeSet<>(parts));
	}

	/**
	 * Return whether the rule stops a request.
	 * @param requestService the service that the request is for
	 * @param requestParts the ids of the shared parts of its prompt
	 * @return {@code true} if it is for the service and has all parts
	 */
	boolean matches(String requestService, Collection<String> requestParts) {
		return this.service.equals(requestService) && requestParts.containsAll(this.parts);
	}

}
