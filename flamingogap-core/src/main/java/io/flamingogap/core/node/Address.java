package io.flamingogap.core.node;

import java.util.Arrays;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * IP address and port of a listener.
 *
 * @param host the IP address; IPv6 addresses are in brackets; the constructor doesn't
 * check its form
 * @param port the port, 1 to 65535
 */
public record Address(String host, int port) {

	private static final int MAX_PORT = 65_535;

	private static final Pattern FORMAT = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+]):([0-9]{1,5})");

	private static final Pattern IPV4 = Pattern
		.compile("(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])){3}");

	private static final Pattern IPV6_GROUP = Pattern.compile("[0-9a-fA-F]{1,4}");

	private static final int IPV6_GROUPS = 8;

	/** Stands for groups of zeros in an IPv6 address; at most once. */
	private static final String GAP = "::";

	public Address {
		Objects.requireNonNull(host, "host must not be null");
		if (port < 1 || port > MAX_PORT) {
			throw new IllegalArgumentException("port must be 1 to " + MAX_PORT + " but was " + port);
		}
	}

	/**
	 * Parse an address such as {@code 127.0.0.1:8080} or {@code [::1]:8080}. Host names
	 * aren't supported.
	 * @param text the IP address and the port, separated by a colon
	 * @return the parsed address
	 */
	public static Address parse(String text) {
		Matcher matcher = FORMAT.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("address must be IP:PORT but was '" + text + "'");
		}
		String host = matcher.group(1);
		if (!(host.startsWith("[") ? isIpv6(host) : IPV4.matcher(host).matches())) {
			throw new IllegalArgumentException("no IP address in '" + text + "'");
		}
		return new Address(host, Integer.parseInt(matcher.group(2)));
	}

	private static boolean isIpv6(String bracketed) {
		String host = bracketed.substring(1, bracketed.length() - 1);
		int gap = host.indexOf(GAP);
		if (gap < 0) {
			return countGroups(host) == IPV6_GROUPS;
		}
		int before = countGroups(host.substring(0, gap));
		int after = countGroups(host.substring(gap + GAP.length()));
		return before >= 0 && after >= 0 && before + after < IPV6_GROUPS;
	}

	/**
	 * Count the groups of a part of an IPv6 address without a gap.
	 * @param groups the groups, separated by colons; may be empty
	 * @return the number; negative if one of them is malformed
	 */
	private static int countGroups(String groups) {
		if (groups.isEmpty()) {
			return 0;
		}
		String[] each = groups.split(":", -1);
		return Arrays.stream(each).allMatch((group) -> IPV6_GROUP.matcher(group).matches()) ? each.length
				: Integer.MIN_VALUE;
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
