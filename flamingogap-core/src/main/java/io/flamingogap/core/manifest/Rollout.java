package io.flamingogap.core.manifest;

import java.util.List;

import io.flamingogap.core.toml.Default;
import io.flamingogap.core.toml.Range;
import io.flamingogap.core.toml.StringPattern;

/**
 * Gradual move of the traffic of a service from its current version to a candidate.
 *
 * @param service the name of the service
 * @param candidate the version that receives the traffic
 * @param zones the names of the availability zones that the candidate may run in; empty
 * for all zones
 * @param startsAtEpochSeconds the earliest time at which traffic moves, in seconds since
 * 1970 UTC
 * @param deadlineEpochSeconds the time by which all traffic must have moved, in seconds
 * since 1970 UTC
 */
public record Rollout(@StringPattern(StringPattern.NAME) String service,
		@StringPattern(StringPattern.NAME) String candidate, @Default("") List<String> zones,
		@Range(min = 0, max = 4_102_444_800L) long startsAtEpochSeconds,
		@Range(min = 1, max = 4_102_444_800L) long deadlineEpochSeconds) {
}
