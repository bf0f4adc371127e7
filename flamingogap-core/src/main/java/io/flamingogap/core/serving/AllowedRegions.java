package io.flamingogap.core.serving;

import java.util.Collection;
import java.util.Objects;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Regions that may process the data of a route or a client account.
 *
 * @param restricted whether only some regions may; otherwise all may
 * @param regions the regions that may, if restricted; empty if none may
 * @param fault what is wrong with the configured list; empty if nothing is
 */
public record AllowedRegions(boolean restricted, Set<String> regions, String fault) {

	/** All regions may process the data. */
	public static final AllowedRegions ALL = new AllowedRegions(false, Set.of(), "");

	public AllowedRegions {
		Objects.requireNonNull(fault, "fault must not be null");
		regions = Set.copyOf(regions);
	}

	/**
	 * Restrict data to some regions.
	 * @param regions the names of the regions; empty to allow none
	 * @return the restriction
	 */
	public static AllowedRegions only(Collection<String> regions) {
		return new AllowedRegions(true, Set.copyOf(regions), "");
	}

	/**
	 * Restrict data to what can be understood of a faulty list.
	 * @param regions the names of the regions that it contains; empty to allow none
	 * @param fault what is wrong with it
	 * @return the restriction
	 */
	public static AllowedRegions onlyReadable(Collection<String> regions, String fault) {
		return new AllowedRegions(true, Set.copyOf(regions), fault);
	}

	/**
	 * Return whether a region may process the data.
	 * @param region the name of the region; {@code null} if it is unknown
	 * @return {@code true} if there is no restriction or it includes the region
	 */
	public boolean allows(@Nullable String region) {
		return !this.restricted || (region != null && this.regions.contains(region));
	}

}
