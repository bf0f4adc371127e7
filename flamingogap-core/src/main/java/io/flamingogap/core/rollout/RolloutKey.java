package io.flamingogap.core.rollout;

import java.util.Objects;

import io.flamingogap.core.manifest.Rollout;

/**
 * The identity of a rollout. Trying a version again takes a new start time.
 *
 * @param service the service
 * @param candidate the version that takes over
 * @param startsAtEpochSeconds when traffic may begin to move, in seconds since 1970 UTC
 */
public record RolloutKey(String service, String candidate, long startsAtEpochSeconds) {

	public RolloutKey {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(candidate, "candidate must not be null");
	}

	/**
	 * Return the identity of a rollout.
	 * @param rollout the rollout as the manifest has it
	 * @return its identity
	 */
	public static RolloutKey of(Rollout rollout) {
		return new RolloutKey(rollout.service(), rollout.candidate(), rollout.startsAtEpochSeconds());
	}

}
