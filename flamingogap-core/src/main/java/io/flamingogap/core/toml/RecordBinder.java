package io.flamingogap.core.toml;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

/**
 * Binds a TOML document to a record. A component may be a string, an integer, a boolean,
 * an enum, a record or a list of these. Unknown keys, missing keys, wrong types and
 * values out of range are collected, so that one call reports all of them.
 */
public final class RecordBinder {

	private static final TomlMapper MAPPER = new TomlMapper();

	private final List<ValidationError> errors = new ArrayList<>();

	private RecordBinder() {
	}

	/**
	 * Bind a document.
	 * @param <T> the record type
	 * @param text the TOML document
	 * @param type the record type; its component names are the keys of the document
	 * @return the record, or all errors that were found; a syntax error is reported alone
	 */
	public static <T extends Record> Either<List<ValidationError>, T> bind(String text, Class<T> type) {
		JsonNode root;
		try {
			root = MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			return Either.left(List.of(syntaxError(ex)));
		}
		RecordBinder binder = new RecordBinder();
		Object bound = binder.bindRecord(root, type, "");
		if (!binder.errors.isEmpty() || bound == null) {
			return Either.left(List.copyOf(binder.errors));
		}
		return Either.right(type.cast(bound));
	}

	private static ValidationError syntaxError(JsonProcessingException ex) {
		String location = (ex.getLocation() != null) ? "line " + ex.getLocation().getLineNr() : "document";
		return new ValidationError(location, String.valueOf(ex.getOriginalMessage()), "valid TOML");
	}

	private @Nullable Object bindRecord(JsonNode node, Class<?> type, String path) {
		if (!node.isObject()) {
			return reject(path, node.toString(), "a table");
		}
		RecordComponent[] components = type.getRecordComponents();
		reportUnknownKeys(node, components, path);
		int errorsBefore = this.errors.size();
		Object[] values = new Object[components.length];
		for (int i = 0; i < components.length; i++) {
			values[i] = bindComponent(node, components[i], childPath(path, components[i].getName()));
		}
		return (this.errors.size() > errorsBefore) ? null : construct(type, components, values, path);
	}

	private void reportUnknownKeys(JsonNode node, RecordComponent[] components, String path) {
		Set<String> known = Arrays.stream(components).map(RecordComponent::getName).collect(Collectors.toSet());
		Set<String> unknown = new HashSet<>();
		node.fieldNames().forEachRemaining(unknown::add);
		unknown.removeAll(known);
		unknown.stream()
			.sorted()
			.forEach((name) -> reject(childPath(path, name), node.get(name).toString(),
					"absent: the key is unknown, known keys are "
							+ known.stream().sorted().collect(Collectors.joining(", "))));
	}

	private @Nullable Object bindComponent(JsonNode parent, RecordComponent component, String path) {
		JsonNode node = parent.get(component.getName());
		Default defaultValue = component.getAnnotation(Default.class);
		if (node == null && defaultValue != null) {
			node = defaultNode(defaultValue, component);
		}
		if (node == null) {
			return reject(path, "absent", describeAllowed(component));
		}
		if (component.getType() == List.class) {
			Type element = ((ParameterizedType) component.getGenericType()).getActualTypeArguments()[0];
			return bindList(node, (Class<?>) element, component, path);
		}
		return bindValue(node, component.getType(), component, path);
	}

	private JsonNode defaultNode(Default defaultValue, RecordComponent component) {
		if (component.getType() == List.class) {
			return MAPPER.createArrayNode();
		}
		if (component.getType() == String.class || component.getType().isEnum()) {
			return TextNode.valueOf(defaultValue.value());
		}
		try {
			return MAPPER.readTree("v = " + defaultValue.value()).get("v");
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("default of " + component.getName() + " isn't valid TOML", ex);
		}
	}

	private @Nullable Object bindList(JsonNode node, Class<?> element, RecordComponent component, String path) {
		if (!node.isArray()) {
			return reject(path, node.toString(), "a list");
		}
		List<Object> values = new ArrayList<>();
		for (int i = 0; i < node.size(); i++) {
			Object value = bindValue(node.get(i), element, component, path + "[" + i + "]");
			if (value != null) {
				values.add(value);
			}
		}
		return List.copyOf(values);
	}

	private @Nullable Object bindValue(JsonNode node, Class<?> type, RecordComponent component, String path) {
		if (type.isRecord()) {
			return bindRecord(node, type, path);
		}
		if (type == String.class) {
			return bindString(node, component, path);
		}
		if (type == long.class || type == int.class) {
			return bindNumber(node, type, component, path);
		}
		if (type == boolean.class) {
			return node.isBoolean() ? node.booleanValue() : reject(path, node.toString(), "true or false");
		}
		if (type.isEnum()) {
			return bindEnum(node, type, path);
		}
		throw new IllegalStateException("unsupported type " + type + " at " + path);
	}

	private @Nullable Object bindString(JsonNode node, RecordComponent component, String path) {
		StringPattern pattern = component.getAnnotation(StringPattern.class);
		boolean matches = node.isTextual() && (pattern == null || node.textValue().matches(pattern.value()));
		return matches ? node.textValue() : reject(path, node.toString(), describeAllowed(component));
	}

	private @Nullable Object bindNumber(JsonNode node, Class<?> type, RecordComponent component, String path) {
		Range range = component.getAnnotation(Range.class);
		boolean fits = node.canConvertToLong() && node.isIntegralNumber()
				&& (range == null || (node.longValue() >= range.min() && node.longValue() <= range.max()));
		if (!fits) {
			return reject(path, node.toString(), describeAllowed(component));
		}
		if (type == long.class) {
			return node.longValue();
		}
		return node.intValue();
	}

	private @Nullable Object bindEnum(JsonNode node, Class<?> type, String path) {
		for (Object constant : type.getEnumConstants()) {
			if (node.isTextual() && constant.toString().toLowerCase(Locale.ROOT).equals(node.textValue())) {
				return constant;
			}
		}
		String allowed = Arrays.stream(type.getEnumConstants())
			.map((constant) -> constant.toString().toLowerCase(Locale.ROOT))
			.collect(Collectors.joining(", "));
		return reject(path, node.toString(), "one of " + allowed);
	}

	private @Nullable Object construct(Class<?> type, RecordComponent[] components, Object[] values, String path) {
		Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
		try {
			Constructor<?> constructor = type.getDeclaredConstructor(types);
			return constructor.newInstance(values);
		}
		catch (InvocationTargetException ex) {
			return reject(path.isEmpty() ? "document" : path, "as written", "valid: " + ex.getCause().getMessage());
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalStateException("can't construct " + type, ex);
		}
	}

	private static String describeAllowed(RecordComponent component) {
		Range range = component.getAnnotation(Range.class);
		StringPattern pattern = component.getAnnotation(StringPattern.class);
		if (range != null) {
			return "a whole number from " + range.min() + " to " + range.max();
		}
		return (pattern != null) ? "a string that matches " + pattern.value()
				: "a value of type " + component.getType().getSimpleName().toLowerCase(Locale.ROOT);
	}

	private @Nullable Object reject(String key, String value, String allowed) {
		this.errors.add(new ValidationError(key, value, allowed));
		return null;
	}

	private static String childPath(String path, String name) {
		return path.isEmpty() ? name : path + "." + name;
	}

}
