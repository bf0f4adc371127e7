package io.flamingogap.core.toml;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Pattern that a string, or each string of a list, must match.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface StringPattern {

	/**
	 * Name of lower-case letters, digits and hyphens, at most 63 characters long and not
	 * starting with a hyphen.
	 */
	String NAME = "[a-z0-9][a-z0-9-]{0,62}";

	/** IP address with a port; IPv6 addresses are in brackets. */
	String ADDRESS = "([0-9.]+|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}";

	/** SHA-256 digest in lower-case hexadecimal digits. */
	String DIGEST = "[0-9a-f]{64}";

	/** URL path that starts with a slash, at most 256 characters long. */
	String PATH = "/[A-Za-z0-9._~/-]{0,255}";

	/**
	 * Return the regular expression that the whole string must match.
	 * @return the regular expression
	 */
	String value();

}
