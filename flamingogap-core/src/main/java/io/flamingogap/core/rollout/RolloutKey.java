package io.flamingogap.core.rollout;

import java.util.Objects;

import io.flamingogap.core.manifest.Rollout;

/**
 * Identity of a rollout. Another rollout of the same version needs a new start time.
 *
 * @param service the name of the service
 * @param candidate the version that is rolled out
 * @param startsAtEpochSeconds when the candidate may get its first requests, in seconds
 * since 1970 UTC
 */
public record RolloutKey(String service, String candidate, long startsAtEpochSeconds) {

	public RolloutKey {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(candidate, "candidate must not be null");
	}

	/**
	 * Return the identity of a rollout.
	 * @param rollout the rollout in the manifest
	 * @return the key under which its evidence is kept
	 */
	public static RolloutKey of(Rollout rollout) {
		return new RolloutKey(rollout.service(), rollout.candidate(), rollout.startsAtEpochSeconds());
	}

}
