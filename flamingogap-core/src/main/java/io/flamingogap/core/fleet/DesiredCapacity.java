package io.flamingogap.core.fleet;

/**
 * Number of servers that a service should have.
 *
 * @param target the number that reclaimable servers, which are cheap, should cover; it
 * rises at once and falls late
 * @param required the number that servers of any kind must cover; 0 as long as the
 * service has had no requests
 */
public record DesiredCapacity(int target, int required) {

	public DesiredCapacity {
		if (target < 0 || required < 0) {
			throw new IllegalArgumentException(
					"target and required must not be negative but were " + target + " and " + required);
		}
	}

}
