package io.flamingogap.core.node;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link Address}.
 */
class AddressTests {

	@ParameterizedTest
	@ValueSource(strings = { "127.0.0.1:1", "10.255.0.249:65535", "0.0.0.0:80", "[::1]:80", "[::]:80", "[1::]:80",
			"[2001:db8::8a2e:370:7334]:443", "[1:2:3:4:5:6:7:8]:443" })
	void addressesAreParsed(String text) {
		assertThat(Address.parse(text).toString(), is(text));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999",
			"127.0.0.1:123456", "127.0.0.1:-1", "256.0.0.1:80", "1.2.3:80", "1.2.3.4.5:80", "....:80", "host:80",
			"[:::]:80", "[1:2:3]:80", "[1::2::3]:80", "[12345::]:80", "[1:2:3:4:5:6:7:8:9]:80", "[1:2:3:4::5:6:7:8]:80",
			"[]:80" })
	void otherTextsAreRefused(String text) {
		assertThat(isRefused(text), is(true));
	}

	private static boolean isRefused(String text) {
		try {
			Address.parse(text);
			return false;
		}
		catch (IllegalArgumentException ex) {
			return true;
		}
	}

}
