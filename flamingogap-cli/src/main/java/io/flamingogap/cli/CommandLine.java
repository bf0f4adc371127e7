package io.flamingogap.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * The parsed command line.
 */
final class CommandLine {

	private static final String ADDRESS_VARIABLE = "FLAMINGOGAP_NODE";

	private static final String KEY_VARIABLE = "FLAMINGOGAP_KEY";

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<String> node = this.parser
		.accepts("node", "caller address of any entry node; or " + ADDRESS_VARIABLE)
		.withRequiredArg()
		.describedAs("IP:PORT");

	private final OptionSpec<String> output = this.parser.accepts("output", "how to print the result")
		.withRequiredArg()
		.describedAs("json|table")
		.defaultsTo("table");

	private final OptionSpec<Long> waitSeconds = this.parser
		.accepts("wait", "wait for the effect, for at most this long")
		.withRequiredArg()
		.ofType(Long.class)
		.describedAs("SECONDS");

	private final OptionSpec<Long> base = this.parser
		.accepts("base", "the offset that the change was made against; default: what is in force")
		.withRequiredArg()
		.ofType(Long.class)
		.describedAs("OFFSET");

	private final OptionSpec<String> id = this.parser
		.accepts("id", "the id of the change; the same id again is the same change")
		.withRequiredArg()
		.describedAs("ID");

	private final OptionSpec<Integer> limit = this.parser.accepts("limit", "the most entries to print")
		.withRequiredArg()
		.ofType(Integer.class)
		.describedAs("N")
		.defaultsTo(100);

	private final OptionSpec<String> words = this.parser.nonOptions();

	private final Map<String, String> environment;

	private final OptionSet options;

	CommandLine(String[] args, Map<String, String> environment) {
		this.parser.accepts("help", "print this help and exit").forHelp();
		this.parser.accepts("version", "print the version and exit");
		this.environment = environment;
		try {
			this.options = this.parser.parse(args);
		}
		catch (OptionException ex) {
			throw new CliException(ExitStatus.USAGE, ex.getMessage() + "; see --help");
		}
	}

	boolean has(String option) {
		return this.options.has(option);
	}

	Command command() {
		List<String> given = this.options.valuesOf(this.words);
		if (given.isEmpty()) {
			throw new CliException(ExitStatus.USAGE, "a command is required; see --help");
		}
		return Command.find(given.get(0))
			.orElseThrow(() -> new CliException(ExitStatus.USAGE, "no command " + given.get(0) + "; see --help"));
	}

	String argument(int index, String name) {
		List<String> given = this.options.valuesOf(this.words);
		if (given.size() <= index + 1) {
			throw new CliException(ExitStatus.USAGE, name + " is required; see --help");
		}
		return given.get(index + 1);
	}

	NodeClient node() {
		String address = this.options.has(this.node) ? this.options.valueOf(this.node)
				: this.environment.get(ADDRESS_VARIABLE);
		String key = this.environment.get(KEY_VARIABLE);
		if (address == null || key == null) {
			throw new CliException(ExitStatus.USAGE, "--node IP:PORT (or " + ADDRESS_VARIABLE + ") and " + KEY_VARIABLE
					+ ", the operator's bearer key, are required");
		}
		return new NodeClient(address, key);
	}

	OutputFormat output() {
		try {
			return OutputFormat.valueOf(this.options.valueOf(this.output).toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw new CliException(ExitStatus.USAGE, "--output must be json or table");
		}
	}

	Optional<Long> waitMillis() {
		return Optional.ofNullable(this.options.valueOf(this.waitSeconds)).map((seconds) -> seconds * 1_000);
	}

	Optional<Long> baseOffset() {
		return Optional.ofNullable(this.options.valueOf(this.base));
	}

	Optional<String> changeId() {
		return Optional.ofNullable(this.options.valueOf(this.id));
	}

	int limit() {
		return this.options.valueOf(this.limit);
	}

	void printHelp(PrintStream out) {
		out.println("flamingogap: operate flamingogap entry nodes\n\nCommands:");
		for (Command command : Command.values()) {
			out.println(command.usage());
		}
		out.println("\nExit status: 0 done, 1 refused or failed, 2 unusable arguments or documents,");
		out.println("3 node not reached, 4 --wait passed.\n");
		try {
			this.parser.printHelpOn(out);
		}
		catch (IOException ex) {
			throw new CliException(ExitStatus.FAILED, "can't print the help: " + ex.getMessage());
		}
	}

}
