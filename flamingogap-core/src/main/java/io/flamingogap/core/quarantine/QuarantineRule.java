package io.flamingogap.core.quarantine;

import java.util.Collection;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The prompt parts, or the request, that requests to a service are stopped for. A request
 * is stopped only if it has all of them: several parts stand in one rule if they were in
 * the same requests whenever servers crashed, so that nothing tells which of them is the
 * cause.
 *
 * @param service the name of the service
 * @param parts the ids of the parts, or the fingerprint of the request and the ids of
 * parts that were in the same crashes; at least one
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
	 * @param suspects the suspects of the request
	 * @return {@code true} if it is for the service and has all parts
	 */
	boolean matches(String requestService, Collection<String> suspects) {
		return this.service.equals(requestService) && suspects.containsAll(this.parts);
	}

}
