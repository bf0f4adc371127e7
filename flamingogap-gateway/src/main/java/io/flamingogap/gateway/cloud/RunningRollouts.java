package io.flamingogap.gateway.cloud;

import java.util.OptionalLong;

/**
 * The rollouts that are running, as far as orders of servers depend on them.
 */
@FunctionalInterface
public interface RunningRollouts {

	/**
	 * Return how long the rollout of a service has been running.
	 * @param service the name of the service
	 * @param nowMillis the current time on the monotonic clock
	 * @return the time in milliseconds; empty if no rollout of the service is running
	 */
	OptionalLong ageMillis(String service, long nowMillis);

}
