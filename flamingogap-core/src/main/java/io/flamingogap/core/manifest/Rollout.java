package io.flamingogap.core.manifest;

import java.util.List;

import io.flamingogap.core.toml.Default;
import io.flamingogap.core.toml.Range;
import io.flamingogap.core.toml.StringPattern;

/**
 * A move of a service's traffic from its version in use to a candidate.
 *
 * @param service the service
 * @param candidate the version that takes over
 * @param zones the availability zones it may run in; none means all
 * @param startsAtEpochSeconds when traffic may begin to move, in seconds since 1970 UTC
 * @param deadlineEpochSeconds when all traffic must have moved, in seconds since 1970 UTC
 */
public record Rollout(@StringPattern(StringPattern.NAME) String service,
		@StringPattern(StringPattern.NAME) String candidate, @Default("") List<String> zones,
		@Range(min = 0, max = 4_102_444_800L) long startsAtEpochSeconds,
		@Range(min = 1, max = 4_102_444_800L) long deadlineEpochSeconds) {
}
