package io.flamingogap.core.serving;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration that this process has seen. It never goes back to an
 * older version, whatever order versions arrive in.
 * <p>
 * Not safe for use by several threads.
 */
public final class ConfigHolder {

	private @Nullable ServingConfig current;

	private long appliedAtMillis;

	/**
	 * Take a configuration if it is newer than the one in force.
	 * @param candidate the configuration
	 * @param nowMillis the present time
	 * @return {@code true} if it is in force now and was not before
	 */
	public boolean applyIfNewer(ServingConfig candidate, long nowMillis) {
		if (this.current != null && candidate.version() <= this.current.version()) {
			return false;
		}
		this.current = candidate;
		this.appliedAtMillis = nowMillis;
		return true;
	}

	/**
	 * Return the configuration in force.
	 * @return the configuration, if any was seen
	 */
	public Optional<ServingConfig> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Return how long the configuration has been in force here.
	 * @param nowMillis the present time
	 * @return the age in milliseconds
	 */
	public long ageMillis(long nowMillis) {
		return nowMillis - this.appliedAtMillis;
	}

}
