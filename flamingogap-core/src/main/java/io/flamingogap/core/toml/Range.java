package io.flamingogap.core.toml;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The allowed range of a number, both ends included.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface Range {

	/**
	 * Return the smallest allowed value.
	 * @return the lower bound
	 */
	long min();

	/**
	 * Return the largest allowed value.
	 * @return the upper bound
	 */
	long max();

}
