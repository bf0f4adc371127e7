package io.flamingogap.cli;

import java.io.PrintStream;
import java.util.Map;

/**
 * The entry point of the operators' command line.
 */
public final class FlamingogapCli {

	private FlamingogapCli() {
	}

	/**
	 * Run one command.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(run(args, System.getenv(), System.out, System.err));
	}

	/**
	 * Run one command.
	 * @param args the command line
	 * @param environment the environment variables
	 * @param out takes the result
	 * @param err takes progress and errors
	 * @return the exit status
	 */
	static int run(String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
		try {
			CommandLine line = new CommandLine(args, environment);
			if (line.has("help")) {
				line.printHelp(out);
			}
			else if (line.has("version")) {
				out.println("flamingogap " + FlamingogapCli.class.getPackage().getImplementationVersion());
			}
			else {
				OutputFormat format = line.output();
				out.println(format.render(line.command().run(new Commands(line, err))));
			}
			return ExitStatus.OK.code();
		}
		catch (CliException ex) {
			err.println(ex.getMessage());
			return ex.status().code();
		}
	}

}
