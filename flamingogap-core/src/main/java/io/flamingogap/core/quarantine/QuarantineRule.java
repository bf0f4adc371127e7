package io.flamingogap.core.quarantine;

import java.util.Collection;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What requests to a service are stopped for. A request is stopped only if it has all of
 * the suspects: several parts stand in one rule if they were in the same requests
 * whenever servers crashed, so that nothing tells which of them is the cause. A rule that
 * has a fingerprint stops that request only.
 *
 * @param service the name of the service
 * @param suspects the keys of prompt parts, the fingerprint of a request, or both; at
 * least one
 */
public record QuarantineRule(String service, SortedSet<String> suspects) {

	public QuarantineRule {
		Objects.requireNonNull(service, "service must not be null");
		if (suspects.isEmpty()) {
			throw new IllegalArgumentException("suspects must not be empty");
		}
		suspects = new TreeSet<>(suspects);
	}

	/**
	 * Create a rule.
	 * @param service the name of the service
	 * @param suspects the keys of prompt parts, the fingerprint of a request, or both; at
	 * least one
	 * @return the rule
	 */
	public static QuarantineRule of(String service, Collection<String> suspects) {
		return new QuarantineRule(service, new TreeSet<>(suspects));
	}

	/**
	 * Return whether the rule stops a request.
	 * @param requestService the service that the request is for
	 * @param requestSuspects the suspects of the request
	 * @return {@code true} if it is for the service and has all suspects of the rule
	 */
	boolean matches(String requestService, Collection<String> requestSuspects) {
		return this.service.equals(requestService) && requestSuspects.containsAll(this.suspects);
	}

}
