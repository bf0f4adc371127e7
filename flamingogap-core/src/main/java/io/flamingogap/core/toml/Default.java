package io.flamingogap.core.toml;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The value of a key that a document leaves out, in the document's own syntax.
 */
@Target(ElementType.RECORD_COMPONENT)
@Retention(RetentionPolicy.RUNTIME)
public @interface Default {

	/**
	 * Return the value; an empty text stands for an empty list.
	 * @return the value
	 */
	String value();

}
