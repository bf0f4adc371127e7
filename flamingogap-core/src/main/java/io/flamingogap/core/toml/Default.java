package io.flamingogap.core.toml;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Default value of a key that a document may omit. Keys without this annotation are
 * mandatory.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface Default {

	/**
	 * Return the default value.
	 * @return the TOML value of a number or boolean, or the plain text of a string or
	 * enum; an empty text for lists, whose default is always an empty list
	 */
	String value();

}
