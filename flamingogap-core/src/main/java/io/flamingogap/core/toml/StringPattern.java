package io.flamingogap.core.toml;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The allowed form of a string.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface StringPattern {

	/** A name of lower-case letters, digits and hyphens. */
	String NAME = "[a-z0-9][a-z0-9-]{0,62}";

	/** An IP number with a port. */
	String ADDRESS = "([0-9.]+|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}";

	/** A SHA-256 digest in lower-case hexadecimal digits. */
	String DIGEST = "[0-9a-f]{64}";

	/** A URL path that starts with a slash. */
	String PATH = "/[A-Za-z0-9._~/-]{0,255}";

	/**
	 * Return the regular expression that the whole value must match.
	 * @return the expression
	 */
	String value();

}
