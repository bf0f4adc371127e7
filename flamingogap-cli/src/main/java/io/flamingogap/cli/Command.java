package io.flamingogap.cli;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The commands by name.
 */
enum Command {

	/** Publishes a manifest. */
	APPLY("FILE", "publish a manifest; --wait until it is in force at all nodes", Commands::apply),
	/** Checks a manifest without a node. */
	VALIDATE("FILE", "check a manifest, offline", Commands::validate),
	/** Shows the status of a node. */
	STATUS("", "show the status of the node", Commands::status),
	/** Shows the membership table of a node. */
	NODES("", "show the entry nodes", Commands::nodes),
	/** Shows or takes back rollouts. */
	ROLLOUT("show | take-back SERVICE", "show the rollouts, or take one back for good", Commands::rollout),
	/** Begins a planned stop. */
	DRAIN("NODE", "begin a planned stop of a node; --wait until it has left", Commands::drain),
	/** Shows the audit trail. */
	AUDIT("", "show the audit trail, oldest first; --limit N for the latest", Commands::audit),
	/** Shows the state of a keyed request. */
	REQUESTS("KEY", "show the state of one idempotency key", Commands::requests);

	private final String argument;

	private final String summary;

	private final Function<Commands, JsonNode> action;

	Command(String argument, String summary, Function<Commands, JsonNode> action) {
		this.argument = argument;
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

	String usage() {
		return String.format("  %-34s %s", name().toLowerCase(Locale.ROOT) + " " + this.argument, this.summary);
	}

}
