package io.flamingogap.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * Processor time and memory that a process has used.
 *
 * @param cpuMillis the processor time since the start of the process, in milliseconds
 * @param residentBytes the resident memory in bytes; 0 if {@code VmRSS} is not listed for
 * the process
 */
record ProcessUsage(long cpuMillis, long residentBytes) {

	private static final long BYTES_PER_KIB = 1_024;

	static ProcessUsage of(long pid) {
		long cpuMillis = ProcessHandle.of(pid)
			.flatMap((process) -> process.info().totalCpuDuration())
			.map(Duration::toMillis)
			.orElseThrow(
					() -> new IllegalArgumentException("no process with id " + pid + " or no processor time of it"));
		return new ProcessUsage(cpuMillis, residentBytes(pid).orElse(0L));
	}

	private static Optional<Long> residentBytes(long pid) {
		try {
			return Files.readAllLines(Path.of("/proc/" + pid + "/status"))
				.stream()
				.filter((line) -> line.startsWith("VmRSS:"))
				.map((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KIB)
				.findFirst();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
