package io.flamingogap.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The commands of the client. The lower-case name of a constant is the name of its
 * command.
 */
enum Command {

	/** Publishes a manifest. */
	APPLY("FILE", "publish the manifest in FILE; with --wait, wait until it is in force at all nodes", Commands::apply),
	/** Checks a manifest without contacting a node. */
	VALIDATE("FILE", "check the manifest in FILE without contacting a node", Commands::validate),
	/** Shows the status of a node. */
	STATUS("", "show the status of the node given by --node", Commands::status),
	/** Lists the entry nodes that a node knows. */
	NODES("", "list the entry nodes that the node knows", Commands::nodes),
	/** Lists the rollouts, or takes one back. */
	ROLLOUT("show | take-back SERVICE", "list the rollouts, or permanently take back the one of SERVICE",
			Commands::rollout),
	/** Starts a planned stop of a node. */
	DRAIN("NODE", "start a planned stop of NODE; with --wait, wait until it has left", Commands::drain),
	/** Lists the newest entries of the audit trail. */
	AUDIT("", "list the newest entries of the audit trail, oldest first; see --limit", Commands::audit),
	/** Shows the state of the request with an idempotency key. */
	REQUESTS("KEY", "show the state of the request with idempotency key KEY", Commands::requests);

	private final String argumentSyntax;

	private final String summary;

	private final Function<Commands, JsonNode> action;

	Command(String argumentSyntax, String summary, Function<Commands, JsonNode> action) {
		this.argumentSyntax = argumentSyntax;
		this.summary = summary;
		this.action = action;
	}

	static Optional<Command> find(String name) {
		return Arrays.stream(values())
			.filter((command) -> command.name().toLowerCase(Locale.ROOT).equals(name))
			.findFirst();
	}

	JsonNode run(Commands commands) {
		return this.action.apply(commands);
	}

	String helpLine() {
		return String.format("  %-34s %s", name().toLowerCase(Locale.ROOT) + " " + this.argumentSyntax, this.summary);
	}

}
