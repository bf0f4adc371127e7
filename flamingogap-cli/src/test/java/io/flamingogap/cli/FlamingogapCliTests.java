package io.flamingogap.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link FlamingogapCli}.
 */
class FlamingogapCliTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private int run(Map<String, String> environment, String... args) {
		return FlamingogapCli.run(args, environment, new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

	@Nested
	class Usage {

		@Test
		void helpNamesEveryCommandAndTheExitStatuses() {
			assertThat(run(Map.of(), "--help"), is(0));
			String help = FlamingogapCliTests.this.out.toString(StandardCharsets.UTF_8);
			for (Command command : Command.values()) {
				assertThat(help, containsString(command.helpLine()));
			}
			assertThat(help, containsString("Exit status"));
		}

		@Test
		void unknownCommandsAndOptionsAreUsageErrors() {
			assertThat(run(Map.of(), "dance"), is(ExitStatus.USAGE.code()));
			assertThat(run(Map.of(), "--dance"), is(ExitStatus.USAGE.code()));
			assertThat(run(Map.of()), is(ExitStatus.USAGE.code()));
		}

		@Test
		void nodeAddressAndBearerKeyAreRequired() {
			assertThat(run(Map.of(), "status"), is(ExitStatus.USAGE.code()));
			assertThat(FlamingogapCliTests.this.err.toString(StandardCharsets.UTF_8),
					containsString("FLAMINGOGAP_KEY"));
		}

		@Test
		void addressWithoutANodeIsReportedAsUnreachable() {
			Map<String, String> environment = Map.of("FLAMINGOGAP_NODE", "127.0.0.1:1", "FLAMINGOGAP_KEY", "key");
			assertThat(run(environment, "status"), is(ExitStatus.UNREACHABLE.code()));
		}

	}

	@Nested
	class Validation {

		@TempDir
		private Path directory;

		@Test
		void allErrorsOfAManifestAreListedWithoutContactingANode() throws IOException {
			Path file = this.directory.resolve("manifest.toml");
			Files.writeString(file, "zone = []\nservice = []\nserver = []\nsurprise = 1\naccount = 3\noperator = []\n");
			assertThat(run(Map.of(), "validate", file.toString()), is(ExitStatus.USAGE.code()));
			String message = FlamingogapCliTests.this.err.toString(StandardCharsets.UTF_8);
			assertThat(message, containsString("2 faults"));
			assertThat(message, containsString("surprise"));
			assertThat(message, containsString("account"));
		}

		@Test
		void missingFileIsAUsageError() {
			assertThat(run(Map.of(), "validate", this.directory.resolve("none").toString()),
					is(ExitStatus.USAGE.code()));
		}

	}

	@Nested
	class Output {

		private static final String ROWS = "[{\"node\":\"entry-0\",\"zone\":\"z\"},{\"node\":\"e\",\"zone\":\"zone-1\"}]";

		@Test
		void listsArePrintedAsAlignedColumns() throws IOException {
			String table = OutputFormat.TABLE.render(new ObjectMapper().readTree(ROWS));
			assertThat(table, is("node     zone\nentry-0  z\ne        zone-1"));
		}

		@Test
		void jsonOutputIsOneDocument() throws IOException {
			ObjectMapper mapper = new ObjectMapper();
			assertThat(mapper.readTree(OutputFormat.JSON.render(mapper.readTree(ROWS))), is(mapper.readTree(ROWS)));
		}

	}

}
