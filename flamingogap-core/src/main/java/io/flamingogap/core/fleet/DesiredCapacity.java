package io.flamingogap.core.fleet;

/**
 * Number of servers that a service should have.
 *
 * @param target the number of reclaimable servers that should remain after the loss of a
 * zone; it rises at once and falls after a delay, as these servers are cheap
 * @param required the number of servers that must remain, of any kind; 0 as long as the
 * service is known to have had no requests, otherwise the target
 */
public record DesiredCapacity(int target, int required) {

	public DesiredCapacity {
		if (target < 0 || required < 0) {
			throw new IllegalArgumentException(
					"target and required must not be negative but were " + target + " and " + required);
		}
	}

}
