package io.flamingogap.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The formats in which results are printed.
 */
enum OutputFormat {

	/** One JSON document. */
	JSON {

		@Override
		String render(JsonNode result) {
			try {
				return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(result);
			}
			catch (JsonProcessingException ex) {
				throw new IllegalStateException("can't write the result as JSON", ex);
			}
		}

	},

	/** Aligned columns for lists, one line per field for objects. */
	TABLE {

		@Override
		String render(JsonNode result) {
			return result.isArray() ? formatColumns(result) : formatFields(result);
		}

	};

	/**
	 * Format a result for printing.
	 * @param result a JSON list or object
	 * @return the text to print
	 */
	abstract String render(JsonNode result);

	private static String formatFields(JsonNode result) {
		List<String[]> rows = new ArrayList<>();
		result.fields()
			.forEachRemaining((field) -> rows.add(new String[] { field.getKey(), formatCell(field.getValue()) }));
		return alignColumns(rows);
	}

	private static String formatColumns(JsonNode result) {
		Set<String> names = new LinkedHashSet<>();
		result.forEach((row) -> row.fieldNames().forEachRemaining(names::add));
		List<String[]> rows = new ArrayList<>();
		rows.add(names.toArray(String[]::new));
		result.forEach(
				(row) -> rows.add(names.stream().map((name) -> formatCell(row.path(name))).toArray(String[]::new)));
		return alignColumns(rows);
	}

	private static String formatCell(JsonNode value) {
		return value.isValueNode() ? value.asText() : value.toString();
	}

	private static String alignColumns(List<String[]> rows) {
		int columns = rows.stream().mapToInt((row) -> row.length).max().orElse(0);
		int[] widths = new int[columns];
		for (String[] row : rows) {
			for (int i = 0; i < row.length; i++) {
				widths[i] = Math.max(widths[i], row[i].length());
			}
		}
		List<String> lines = new ArrayList<>();
		for (String[] row : rows) {
			StringBuilder line = new StringBuilder();
			for (int i = 0; i < row.length; i++) {
				line.append(row[i]).append(" ".repeat(widths[i] - row[i].length() + 2));
			}
			lines.add(line.toString().stripTrailing());
		}
		return String.join("\n", lines);
	}

}
