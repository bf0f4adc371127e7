package io.flamingogap.core.toml;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link RecordBinder}.
 */
class RecordBinderTests {

	private static List<String> errorKeys(String text) {
		return RecordBinder.bind(text, Sample.class).getLeft().stream().map(ValidationError::key).toList();
	}

	@Test
	void bindsValuesListsAndDefaults() {
		Sample sample = RecordBinder.bind("name = \"a\"\n[[part]]\nsizeBytes = 3\n", Sample.class).get();
		assertThat(sample, is(new Sample("a", 250, List.of(new Part(3)))));
	}

	@Test
	void reportsAllErrorsAtOnce() {
		String text = "name = \"UPPER\"\ntimeoutMillis = 0\nsurprise = 1\n[[part]]\nsizeBytes = \"x\"\n";
		assertThat(errorKeys(text), containsInAnyOrder("surprise", "name", "timeoutMillis", "part[0].sizeBytes"));
	}

	@Test
	void reportsMissingKeysWithTheAllowedValues() {
		List<ValidationError> errors = RecordBinder.bind("", Sample.class).getLeft();
		assertThat(errors.stream().map(ValidationError::toString).toList(),
				contains("name = absent: must be a string that matches " + StringPattern.NAME));
	}

	@Test
	void reportsTheLineOfASyntaxError() {
		ValidationError error = RecordBinder.bind("name = \"a\"\nbroken\n", Sample.class).getLeft().get(0);
		assertThat(error.key(), containsString("line"));
	}

	record Sample(@StringPattern(StringPattern.NAME) String name,
			@Default("250") @Range(min = 1, max = 1_000) long timeoutMillis, @Default("") List<Part> part) {
	}

	record Part(@Range(min = 1, max = 10) int sizeBytes) {
	}

}
