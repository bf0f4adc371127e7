package io.flamingogap.core.manifest;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.text.Digests;
import io.flamingogap.core.toml.ValidationError;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ManifestReader}.
 */
class ManifestReaderTests {

	private static final String DIGEST = Digests.sha256("key");

	private static final String VALID = """
			[[zone]]
			name = "zone-0"
			region = "cariri"
			[[service]]
			name = "desk"
			kind = "plain"
			version = "v1"
			targetMillis = 500
			[[service.routes]]
			method = "POST"
			path = "/bookings"
			repeatable = false
			[[server]]
			name = "desk-0"
			service = "desk"
			version = "v1"
			zone = "zone-0"
			address = "127.0.0.1:8000"
			[[account]]
			name = "buyers"
			keyDigest = "%s"
			[[operator]]
			name = "ops"
			keyDigest = "%s"
			""".formatted(DIGEST, DIGEST);

	private static List<String> errorKeys(String text) {
		return ManifestReader.read(text).getLeft().stream().map(ValidationError::key).toList();
	}

	@Test
	void readsAValidManifest() {
		Manifest manifest = ManifestReader.read(VALID).get();
		assertThat(manifest.servers("desk", "v1").size(), is(1));
		assertThat(manifest.findAccountByDigest(DIGEST).orElseThrow().priority(), is(5));
	}

	@Test
	void reportsReferencesToUnknownNames() {
		String text = VALID.replace("zone = \"zone-0\"", "zone = \"zone-9\"")
			.replace("service = \"desk\"", "service = \"disk\"");
		assertThat(errorKeys(text), containsInAnyOrder("server[0].zone", "server[0].service"));
	}

	@Test
	void refusesNamesUsedTwice() {
		String again = "[[operator]]\nname = \"ops\"\nkeyDigest = \"" + DIGEST + "\"\n";
		assertThat(errorKeys(VALID + again), hasItem("operator[1]"));
	}

	@Test
	void refusesPatchForUnrepeatableRoutes() {
		assertThat(errorKeys(VALID.replace("\"POST\"", "\"PATCH\"")), hasItem("service[0].routes[0].method"));
	}

	@Test
	void refusesAManifestWithoutOperators() {
		String text = VALID.substring(0, VALID.indexOf("[[operator]]")) + "operator = []\n";
		assertThat(ManifestReader.read(text).isLeft(), is(true));
	}

	@Test
	void refusesARolloutToTheCurrentVersionOrWithoutADuration() {
		String rollout = "[[rollout]]\nservice = \"desk\"\ncandidate = \"v1\"\nstartsAtEpochSeconds = 5\n"
				+ "deadlineEpochSeconds = 5\n";
		assertThat(errorKeys(VALID + rollout),
				containsInAnyOrder("rollout[0].deadlineEpochSeconds", "rollout[0].candidate"));
	}

	@Test
	void refusesTooLargeManifests() {
		String text = VALID + "# " + "x".repeat(ManifestReader.MAX_BYTES);
		assertThat(errorKeys(text), hasItem("document"));
	}

}
