package io.flamingogap.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link RequestFingerprint}.
 */
class RequestFingerprintTests {

	private static String fingerprint(String account, String uri, List<String> parts, String body) {
		return RequestFingerprint.of(account, "POST", uri, parts,
				ByteBuffer.wrap(body.getBytes(StandardCharsets.US_ASCII)));
	}

	@Test
	void repeatedRequestHasTheSameFingerprint() {
		String first = fingerprint("growers", "/talk/1", List.of("a", "b"), "question");
		assertThat(fingerprint("growers", "/talk/1", List.of("a", "b"), "question"), is(first));
		assertThat(RequestFingerprint.isFingerprint(first), is(true));
		assertThat(RequestFingerprint.isFingerprint("a"), is(false));
	}

	@Test
	void requestThatDiffersInAnyFieldHasAnother() {
		String first = fingerprint("growers", "/talk/1", List.of("a", "b"), "question");
		assertThat(fingerprint("few", "/talk/1", List.of("a", "b"), "question"), is(not(first)));
		assertThat(fingerprint("growers", "/talk/2", List.of("a", "b"), "question"), is(not(first)));
		assertThat(fingerprint("growers", "/talk/1", List.of("a", "c"), "question"), is(not(first)));
		assertThat(fingerprint("growers", "/talk/1", List.of("a", "b"), "questiom"), is(not(first)));
		assertThat(fingerprint("growers/", "talk/1", List.of("a", "b"), "question"), is(not(first)));
	}

	// A session's requests share their prompt parts; only one of them crashed servers.
	@Test
	void requestsOfASessionDiffer() {
		assertThat(fingerprint("growers", "/talk/1", List.of("a", "session"), "first"),
				is(not(fingerprint("growers", "/talk/1", List.of("a", "session"), "second"))));
	}

	@Test
	void bodyIsLeftAsItIs() {
		ByteBuffer body = ByteBuffer.wrap(new byte[10]);
		RequestFingerprint.of("", "GET", "/", List.of(), body);
		assertThat(body.remaining(), is(10));
	}

}
