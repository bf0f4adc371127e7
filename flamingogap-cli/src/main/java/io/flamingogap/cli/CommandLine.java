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
 * Reads the command, its arguments and the options from the command line, and the
 * defaults of the node address and the bearer key from the environment.
 */
final class CommandLine {

	private static final String ADDRESS_VARIABLE = "FLAMINGOGAP_NODE";

	private static final String KEY_VARIABLE = "FLAMINGOGAP_KEY";

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<String> node = this.parser
		.accepts("node", "caller address of any entry node; default: environment variable " + ADDRESS_VARIABLE)
		.withRequiredArg()
		.describedAs("IP:PORT");

	private final OptionSpec<String> output = this.parser.accepts("output", "output format")
		.withRequiredArg()
		.describedAs("json|table")
		.defaultsTo("table");

	private final OptionSpec<Long> waitSeconds = this.parser
		.accepts("wait", "apply, drain: maximum time to wait for the effect, in seconds; default: do not wait")
		.withRequiredArg()
		.ofType(Long.class)
		.describedAs("SECONDS");

	private final OptionSpec<Long> base = this.parser
		.accepts("base", "apply: offset of the configuration that the change is based on; default: the one in force")
		.withRequiredArg()
		.ofType(Long.class)
		.describedAs("OFFSET");

	private final OptionSpec<String> id = this.parser
		.accepts("id", "apply: id of the change; a repeated id counts as the same change; default: a random UUID")
		.withRequiredArg()
		.describedAs("ID");

	private final OptionSpec<Integer> limit = this.parser.accepts("limit", "audit: maximum number of entries to print")
		.withRequiredArg()
		.ofType(Integer.class)
		.describedAs("N")
		.defaultsTo(100);

	private final OptionSpec<String> positionalArguments = this.parser.nonOptions();

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
		List<String> arguments = this.options.valuesOf(this.positionalArguments);
		if (arguments.isEmpty()) {
			throw new CliException(ExitStatus.USAGE, "no command given; see --help");
		}
		return Command.find(arguments.get(0))
			.orElseThrow(
					() -> new CliException(ExitStatus.USAGE, "unknown command " + arguments.get(0) + "; see --help"));
	}

	String argument(int index, String name) {
		List<String> arguments = this.options.valuesOf(this.positionalArguments);
		if (arguments.size() <= index + 1) {
			throw new CliException(ExitStatus.USAGE, name + " is required; see --help");
		}
		return arguments.get(index + 1);
	}

	NodeClient node() {
		String address = this.options.has(this.node) ? this.options.valueOf(this.node)
				: this.environment.get(ADDRESS_VARIABLE);
		String key = this.environment.get(KEY_VARIABLE);
		if (address == null || key == null) {
			throw new CliException(ExitStatus.USAGE,
					"the node address (--node IP:PORT or environment variable " + ADDRESS_VARIABLE
							+ ") and the operator's bearer key (environment variable " + KEY_VARIABLE
							+ ") are required");
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
		out.println("flamingogap: operate flamingogap entry nodes\n\n"
				+ "The operator's bearer key is read from the environment variable " + KEY_VARIABLE + ".\n\nCommands:");
		for (Command command : Command.values()) {
			out.println(command.helpLine());
		}
		out.println("\nExit status: 0 success, 1 refused or failed, 2 invalid arguments or manifest,");
		out.println("3 node unreachable, 4 timed out waiting for the effect (--wait).\n");
		try {
			this.parser.printHelpOn(out);
		}
		catch (IOException ex) {
			throw new CliException(ExitStatus.FAILED, "can't print the help: " + ex.getMessage());
		}
	}

}
