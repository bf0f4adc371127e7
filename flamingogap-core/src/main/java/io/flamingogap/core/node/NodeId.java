package io.flamingogap.core.node;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * One run of one entry node. A node that starts again has another incarnation.
 *
 * @param name the name from the node's settings
 * @param incarnation a random number drawn at start
 */
public record NodeId(String name, long incarnation) {

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

	private static final int HEX = 16;

	public NodeId {
		Objects.requireNonNull(name, "name must not be null");
		if (!NAME.matcher(name).matches()) {
			throw new IllegalArgumentException("name must match " + NAME + " but was '" + name + "'");
		}
	}

	/**
	 * Parse the form written by {@link #toString()}.
	 * @param text a name and a hexadecimal incarnation, separated by {@code ~}
	 * @return the node
	 */
	public static NodeId parse(String text) {
		int separator = text.indexOf('~');
		if (separator < 0) {
			throw new IllegalArgumentException("text must contain '~' but was '" + text + "'");
		}
		long incarnation = Long.parseUnsignedLong(text.substring(separator + 1), HEX);
		return new NodeId(text.substring(0, separator), incarnation);
	}

	@Override
	public String toString() {
		return this.name + "~" + Long.toHexString(this.incarnation);
	}

}
