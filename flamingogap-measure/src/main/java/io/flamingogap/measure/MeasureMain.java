package io.flamingogap.measure;

import java.util.Arrays;
import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

import io.flamingogap.daemon.http.JdkHttpProperties;

/**
 * Runs the measurement that the first argument names and prints its figures.
 */
public final class MeasureMain {

	private MeasureMain() {
	}

	/**
	 * Run a measurement.
	 * @param args the name of the measurement and its options
	 * @throws Exception if the measurement can't be run
	 */
	public static void main(String[] args) throws Exception {
		JdkHttpProperties.configure();
		((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.OFF);
		List<String> options = Arrays.asList(args).subList(1, args.length);
		switch (args[0]) {
			case "path" -> new PathMeasure(PathKind.valueOf(options.get(0)), options.get(1), options.get(2),
					options.get(3), Long.parseLong(options.get(4)))
				.run();
			case "keepalive" -> new KeepaliveMeasure().run();
			case "once" -> new OnceMeasure().run();
			case "handover" -> new HandoverMeasure().run();
			case "capacity" -> new CapacityMeasure(options.get(0), options.get(1)).run();
			case "rollout" -> new RolloutMeasure().run();
			default -> {
				System.err.println("unknown measurement " + args[0]);
				System.exit(2);
			}
		}
		System.exit(0);
	}

}
