package io.flamingogap.core.toml;

/**
 * One fault of a document.
 *
 * @param key the full key, such as {@code service[0].name}
 * @param value the value as written, or "absent"
 * @param allowed what the key allows
 */
public record ValidationError(String key, String value, String allowed) {

	@Override
	public String toString() {
		return this.key + " = " + this.value + ": must be " + this.allowed;
	}

}
