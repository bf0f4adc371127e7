package io.flamingogap.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Checks that the matrix in docs/FAULTS.md has an entry for each step and fault, and that
 * the tests it names exist.
 */
class FaultMatrixTests {

	private static final Pattern CELL_ROW = Pattern
		.compile("\\| [^|]+ \\| (`[A-Za-z.]+`|not proved|does not apply) \\|");

	private static final Pattern RULE_ROW = Pattern.compile("^\\| [A-Z]{3,}");

	private static final Pattern TEST_REFERENCE = Pattern.compile("`([A-Za-z]+)\\.([A-Za-z]+)`");

	private static final int FAULT_COUNT = 13;

	private final Path root = Path.of("").toAbsolutePath().getParent();

	private List<String> matrixLines() throws IOException {
		return Files.readAllLines(this.root.resolve("docs/FAULTS.md"));
	}

	@Test
	void everyStepHasACellForEveryFault() throws IOException {
		int cells = 0;
		int steps = 0;
		for (String line : matrixLines()) {
			steps += line.startsWith("## ") ? 1 : 0;
			cells += CELL_ROW.matcher(line).matches() ? 1 : 0;
		}
		assertThat(steps, greaterThan(0));
		assertThat(cells, is(steps * FAULT_COUNT));
	}

	@Test
	void everyRuleOfThePlatformNamesATest() throws IOException {
		List<String> rules = matrixLines().stream().filter((line) -> RULE_ROW.matcher(line).find()).toList();
		assertThat(rules.size(), greaterThan(0));
		assertThat(rules.stream().filter((line) -> !TEST_REFERENCE.matcher(line).find()).toList(), empty());
	}

	@Test
	void namedTestsExist() throws IOException {
		List<String> missing = new ArrayList<>();
		for (String line : matrixLines()) {
			Matcher matcher = TEST_REFERENCE.matcher(line);
			if (matcher.find() && !exists(matcher.group(1), matcher.group(2))) {
				missing.add(matcher.group());
			}
		}
		assertThat(missing, empty());
	}

	private boolean exists(String testClass, String method) throws IOException {
		Optional<Path> source;
		try (Stream<Path> files = Files.walk(this.root)) {
			source = files.filter((file) -> file.endsWith(testClass + ".java") && file.toString().contains("src/test"))
				.findFirst();
		}
		return source.isPresent() && Files.readString(source.get()).contains("void " + method + "(");
	}

}
