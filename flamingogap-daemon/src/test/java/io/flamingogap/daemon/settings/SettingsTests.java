package io.flamingogap.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.text.Digests;
import io.flamingogap.core.toml.RecordBinder;
import io.flamingogap.core.toml.ValidationError;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

/**
 * Tests that {@link Settings} accepts the settings template and rejects invalid values.
 */
class SettingsTests {

	private static String template() throws IOException {
		return Files.readString(Path.of("../conf/settings.template.toml"))
			.replaceAll("@(NAME|ZONE)@", "entry-0")
			.replaceAll("@(CALLER|NODE|ADMIN|SEED|LOG|CLOUD)@", "127.0.0.1:8000")
			.replace("@OPERATOR_DIGEST@", Digests.sha256("key"));
	}

	private static List<String> invalidKeys(String text) {
		return RecordBinder.bind(text, Settings.class).getLeft().stream().map(ValidationError::key).toList();
	}

	@Test
	void templateIsValid() throws IOException {
		assertThat(RecordBinder.bind(template(), Settings.class).get().nodes().fanOut(), is(4));
	}

	@Test
	void allErrorsAreReportedAtOnce() throws IOException {
		String text = template().replace("fanOut = 4", "fanOut = 0")
			.replace("entryCount = 3", "entryCount = \"three\"")
			.replace("level = \"info\"", "level = \"loud\"\ncolour = true");
		assertThat(invalidKeys(text),
				containsInAnyOrder("nodes.fanOut", "callers.entryCount", "log.level", "log.colour"));
	}

	@Test
	void seedAddressesAreCheckedOneByOne() throws IOException {
		String text = template().replace("seedAddresses = [\"127.0.0.1:8000\"]",
				"seedAddresses = [\"127.0.0.1:8000\", \"a name\"]");
		assertThat(invalidKeys(text), containsInAnyOrder("nodes.seedAddresses[1]"));
	}

	@Test
	void retentionMustBeLongerThanFirstUse() throws IOException {
		assertThat(invalidKeys(template().replace("retentionMillis = 3600000", "retentionMillis = 100000")),
				hasItem("requests"));
	}

}
