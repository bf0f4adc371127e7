package io.flamingogap.testkit;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;

import io.flamingogap.testkit.backends.FakeEngine;
import io.flamingogap.testkit.backends.FakePlainService;
import io.flamingogap.testkit.check.LocalCheck;
import io.flamingogap.testkit.metadata.UsersPlatform;
import io.flamingogap.testkit.net.FreePorts;
import io.flamingogap.testkit.platform.FakeCloud;
import io.flamingogap.testkit.platform.FakeLog;

/**
 * Starts the fake service or check that the first argument names.
 */
public final class TestkitMain {

	private static final String USAGE = "usage: log PORT | cloud PORT | engine PORT FIRST_TOKEN_MILLIS TOKEN_GAP_MILLIS"
			+ " | service PORT ANSWER_MILLIS"
			+ " | users-platform BACKEND_PORT SETTINGS_FILE CALLER_PORT READINESS_PORT DIRECTORY_PORT NODE_PORT"
			+ " | ports COUNT | check OPTIONS";

	private TestkitMain() {
	}

	/**
	 * Run the command.
	 * @param args the name of the command and its arguments
	 * @throws Exception if the service or check can't be started
	 */
	public static void main(String[] args) throws Exception {
		if (args.length < 1) {
			System.err.println(USAGE);
			System.exit(2);
		}
		switch (args[0]) {
			case "log" -> report("log", new FakeLog(port(args)).address());
			case "cloud" -> report("cloud", new FakeCloud(port(args)).address());
			case "engine" -> report("engine",
					new FakeEngine(port(args), Long.parseLong(args[2]), Long.parseLong(args[3])).address());
			case "service" -> report("service", new FakePlainService(port(args), Long.parseLong(args[2])).address());
			case "users-platform" -> new UsersPlatform(port(args)).writeSettings(Path.of(args[2]),
					Stream.of(args).skip(3).map(Integer::valueOf).toList());
			case "ports" -> holdPorts(Integer.parseInt(args[1]));
			case "check" -> System.exit(LocalCheck.run(List.of(args).subList(1, args.length)));
			default -> {
				System.err.println(USAGE);
				System.exit(2);
			}
		}
	}

	/**
	 * Print free ports and keep them from other processes until this one is ended.
	 * @param count the number of ports
	 * @throws InterruptedException if the thread is interrupted
	 */
	private static void holdPorts(int count) throws InterruptedException {
		FreePorts.take(count).forEach(System.out::println);
		new CountDownLatch(1).await();
	}

	private static int port(String[] args) {
		return Integer.parseInt(args[1]);
	}

	private static void report(String name, String address) {
		System.out.println(name + " listens on " + address);
	}

}
