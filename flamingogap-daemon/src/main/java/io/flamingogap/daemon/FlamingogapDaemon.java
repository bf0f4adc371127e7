package io.flamingogap.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import io.vavr.control.Either;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apache.thrift.TException;
import org.slf4j.LoggerFactory;

import io.flamingogap.core.toml.RecordBinder;
import io.flamingogap.core.toml.ValidationError;
import io.flamingogap.daemon.http.JdkHttpProperties;
import io.flamingogap.daemon.settings.Settings;

/**
 * Main class of the daemon. The exit status is 0 after a planned stop, 2 if the arguments
 * or settings are invalid, and 3 if the node can't start.
 */
public final class FlamingogapDaemon {

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_CANNOT_START = 3;

	private FlamingogapDaemon() {
	}

	/**
	 * Run the daemon and exit.
	 * @param args the command line arguments; see --help
	 */
	public static void main(String[] args) {
		System.setProperty("flogger.backend_factory",
				"com.google.common.flogger.backend.slf4j.Slf4jBackendFactory#getInstance");
		JdkHttpProperties.configure();
		int status = run(args, System.out, System.err);
		System.exit(status);
	}

	private static int run(String[] args, PrintStream out, PrintStream err) {
		OptionParser parser = new OptionParser();
		OptionSpec<String> file = parser.accepts("settings", "the settings file (TOML)")
			.withRequiredArg()
			.describedAs("FILE");
		parser.accepts("check-settings", "check the settings and exit");
		parser.accepts("version", "print the version and exit");
		parser.accepts("help", "print this help and exit").forHelp();
		try {
			OptionSet options = parser.parse(args);
			if (options.has("help")) {
				out.println("flamingogapd: an entry node between callers and backend servers");
				parser.printHelpOn(out);
				return 0;
			}
			if (options.has("version")) {
				out.println("flamingogapd " + FlamingogapDaemon.class.getPackage().getImplementationVersion());
				return 0;
			}
			if (!options.has(file)) {
				err.println("--settings FILE is required; see --help");
				return EXIT_USAGE;
			}
			return runWithSettings(Path.of(options.valueOf(file)), options.has("check-settings"), out, err);
		}
		catch (OptionException ex) {
			err.println(ex.getMessage() + "; see --help");
			return EXIT_USAGE;
		}
		catch (IOException ex) {
			err.println("can't read: " + ex.getMessage());
			return EXIT_USAGE;
		}
	}

	private static int runWithSettings(Path file, boolean checkOnly, PrintStream out, PrintStream err)
			throws IOException {
		Either<List<ValidationError>, Settings> settings = RecordBinder.bind(Files.readString(file), Settings.class);
		if (settings.isLeft()) {
			err.println(file + " has " + settings.getLeft().size() + " faults:");
			settings.getLeft().forEach((error) -> err.println("  " + error));
			return EXIT_USAGE;
		}
		if (checkOnly) {
			out.println(file + " is valid");
			return 0;
		}
		setLogLevel(settings.get().log().level());
		return runNode(settings.get(), err);
	}

	private static void setLogLevel(String level) {
		Logger root = (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.toLevel(level));
	}

	private static int runNode(Settings settings, PrintStream err) {
		try (EntryNode node = EntryNode.create(settings, Clock.systemUTC())) {
			node.start();
			Thread mainThread = Thread.currentThread();
			Runtime.getRuntime().addShutdownHook(new Thread(() -> stopOnSignal(node, mainThread), "stop-on-signal"));
			node.awaitStopped();
			return 0;
		}
		catch (IOException | TException ex) {
			err.println("can't start: " + ex.getMessage());
			return EXIT_CANNOT_START;
		}
		catch (InterruptedException ex) {
			return 0;
		}
	}

	private static void stopOnSignal(EntryNode node, Thread mainThread) {
		node.stop("signal", "the process was asked to end");
		try {
			node.awaitStopped();
		}
		catch (InterruptedException ex) {
			mainThread.interrupt();
		}
	}

}
