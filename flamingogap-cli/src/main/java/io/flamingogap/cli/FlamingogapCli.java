package io.flamingogap.cli;

import java.io.PrintStream;
import java.util.Map;

/**
 * Entry point of the command-line client for operators.
 */
public final class FlamingogapCli {

	private FlamingogapCli() {
	}

	/**
	 * Run one command and exit with its status.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(run(args, System.getenv(), System.out, System.err));
	}

	/**
	 * Run one command without exiting the process.
	 * @param args the command line
	 * @param environment the environment variables
	 * @param out receives the result
	 * @param err receives progress and errors
	 * @return the exit status, see {@link ExitStatus}
	 */
	static int run(String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
		try {
			CommandLine commandLine = new CommandLine(args, environment);
			if (commandLine.has("help")) {
				commandLine.printHelp(out);
			}
			else if (commandLine.has("version")) {
				out.println("flamingogap " + FlamingogapCli.class.getPackage().getImplementationVersion());
			}
			else {
				OutputFormat format = commandLine.output();
				out.println(format.render(commandLine.command().run(new Commands(commandLine, err))));
			}
			return ExitStatus.OK.code();
		}
		catch (CliException ex) {
			err.println(ex.getMessage());
			return ex.status().code();
		}
	}

}
