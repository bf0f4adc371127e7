package io.flamingogap.core.toml;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Allowed range of an integer, both ends inclusive.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface Range {

	/**
	 * Return the smallest allowed value.
	 * @return the inclusive lower bound
	 */
	long min();

	/**
	 * Return the largest allowed value.
	 * @return the inclusive upper bound
	 */
	long max();

}
