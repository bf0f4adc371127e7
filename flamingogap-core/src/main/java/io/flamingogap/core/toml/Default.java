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
	 * @return depends on the type of the component:
	 * <ul>
	 * <li>number or boolean: its TOML value,</li>
	 * <li>string or enum: its plain text without quotes,</li>
	 * <li>list: ignored, as the default is always an empty list.</li>
	 * </ul>
	 */
	String value();

}
