package io.flamingogap.testkit.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.flamingogap.testkit.TestkitMain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

/**
 * Tests that {@link FreePorts} returns no port that another running process took, even if
 * nothing listens on it yet.
 */
class FreePortsTests {

	private static final int COUNT = 300;

	@Test
	void processesThatRunAtTheSameTimeTakeDifferentPorts() throws IOException {
		Process other = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				System.getProperty("java.class.path"), TestkitMain.class.getName(), "ports", String.valueOf(COUNT))
			.start();
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(other.getInputStream(), StandardCharsets.UTF_8))) {
			List<Integer> takenByOther = new ArrayList<>();
			while (takenByOther.size() < COUNT) {
				takenByOther.add(Integer.valueOf(reader.readLine()));
			}
			List<Integer> taken = new ArrayList<>(FreePorts.take(COUNT));
			assertThat(taken, hasSize(COUNT));
			taken.retainAll(takenByOther);
			assertThat(taken, empty());
		}
		finally {
			other.destroyForcibly();
		}
	}

	@Test
	void portIsTakenOnce() {
		List<Integer> first = new ArrayList<>(FreePorts.take(COUNT));
		first.retainAll(FreePorts.take(COUNT));
		assertThat(first, empty());
	}

}
