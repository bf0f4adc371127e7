package io.flamingogap.core.toml;

/**
 * Invalid or missing key of a document.
 *
 * @param key the full key, such as {@code service[0].name}; {@code document} or a line
 * for errors of the document itself
 * @param value the value as written, or "absent"
 * @param allowed a description of the allowed values
 */
public record ValidationError(String key, String value, String allowed) {

	@Override
	public String toString() {
		return this.key + " = " + this.value + ": must be " + this.allowed;
	}

}
