package io.flamingogap.core.node;

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
		return new Address(matcher.group(1), Integer.parseInt(matcher.group(2)));
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
