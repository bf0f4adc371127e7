package io.flamingogap.core.serving;

import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration that this process has received. Versions may arrive in
 * any order; an older version never replaces a newer one.
 * <p>
 * Not thread-safe.
 */
public final class ConfigHolder {

	private @Nullable ServingConfig current;

	private long appliedAtMillis;

	/**
	 * Apply a configuration if its version is higher than the current one.
	 * @param candidate the configuration
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if it was applied; {@code false} if it is older than or the
	 * same as the current one
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
	 * Return the current configuration.
	 * @return the configuration; empty before the first one was applied
	 */
	public Optional<ServingConfig> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Return the time since the current configuration was applied in this process.
	 * @param nowMillis the current time in milliseconds, from the clock that
	 * {@link #applyIfNewer} is called with
	 * @return the age in milliseconds; {@code nowMillis} itself before the first
	 * configuration was applied
	 */
	public long ageMillis(long nowMillis) {
		return nowMillis - this.appliedAtMillis;
	}

}
