package io.flamingogap.core.fleet;

/**
 * How many servers a service needs.
 *
 * @param planned what reclaimable servers, which are cheap, should cover: rises at once
 * and falls late
 * @param present what must be covered by servers of any kind; 0 while nobody asks
 */
public record DesiredCapacity(int planned, int present) {

	public DesiredCapacity {
		if (planned < 0 || present < 0) {
			throw new IllegalArgumentException(
					"planned and present must not be negative but were " + planned + " and " + present);
		}
	}

}
