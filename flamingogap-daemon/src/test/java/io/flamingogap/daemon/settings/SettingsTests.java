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
 * Tests of {@link Settings} against the sample.
 */
class SettingsTests {

	private static String sample() throws IOException {
		return Files.readString(Path.of("../conf/settings.template.toml"))
			.replaceAll("@(NAME|ZONE)@", "entry-0")
			.replaceAll("@(CALLER|NODE|ADMIN|SEED|LOG|CLOUD)@", "127.0.0.1:8000")
			.replace("@OPERATOR_DIGEST@", Digests.sha256("key"));
	}

	private static List<String> faultKeys(String text) {
		return RecordBinder.bind(text, Settings.class).getLeft().stream().map(ValidationError::key).toList();
	}

	@Test
	void sampleIsValid() throws IOException {
		assertThat(RecordBinder.bind(sample(), Settings.class).get().nodes().fanOut(), is(4));
	}

	@Test
	void allFaultsAreReportedAtOnce() throws IOException {
		String text = sample().replace("fanOut = 4", "fanOut = 0")
			.replace("entryCount = 3", "entryCount = \"three\"")
			.replace("level = \"info\"", "level = \"loud\"\ncolour = true");
		assertThat(faultKeys(text),
				containsInAnyOrder("nodes.fanOut", "callers.entryCount", "log.level", "log.colour"));
	}

	@Test
	void seedAddressesAreCheckedOneByOne() throws IOException {
		String text = sample().replace("seedAddresses = [\"127.0.0.1:8000\"]",
				"seedAddresses = [\"127.0.0.1:8000\", \"a name\"]");
		assertThat(faultKeys(text), containsInAnyOrder("nodes.seedAddresses[1]"));
	}

	@Test
	void retentionHasToOutliveFirstUse() throws IOException {
		assertThat(faultKeys(sample().replace("retentionMillis = 3600000", "retentionMillis = 100000")),
				hasItem("requests"));
	}

}
