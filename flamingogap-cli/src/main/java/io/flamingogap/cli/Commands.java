package io.flamingogap.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.flamingogap.core.manifest.ManifestReader;
import io.flamingogap.core.toml.ValidationError;

/**
 * Executes the commands. Each returns the result to print.
 */
final class Commands {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long POLL_INTERVAL_MILLIS = 200;

	private final CommandLine commandLine;

	private final PrintStream progress;

	Commands(CommandLine commandLine, PrintStream progress) {
		this.commandLine = commandLine;
		this.progress = progress;
	}

	JsonNode apply() {
		String manifest = readValidManifest(this.commandLine.argument(0, "FILE"));
		NodeClient node = this.commandLine.node();
		ObjectNode change = MAPPER.createObjectNode();
		change.put("id", this.commandLine.changeId().orElseGet(() -> UUID.randomUUID().toString()));
		change.put("baseOffset",
				this.commandLine.baseOffset().orElseGet(() -> node.get("manifest").get("offset").asLong()));
		change.put("manifest", manifest);
		JsonNode verdict = node.post("manifests", change.toString());
		if (this.commandLine.waitMillis().isPresent()) {
			long offset = verdict.get("offset").asLong();
			awaitCondition("the configuration to be in force at all nodes", () -> isInForceAtAllNodes(node, offset));
		}
		return verdict;
	}

	private boolean isInForceAtAllNodes(NodeClient node, long offset) {
		for (JsonNode row : node.get("nodes")) {
			boolean reachableAndServing = row.get("reachable").asBoolean()
					&& "SERVING".equals(row.get("state").asText());
			if (reachableAndServing && node.withAddress(row.get("callerAddress").asText())
				.get("status")
				.get("configOffset")
				.asLong() < offset) {
				return false;
			}
		}
		return true;
	}

	JsonNode validate() {
		String file = this.commandLine.argument(0, "FILE");
		readValidManifest(file);
		return MAPPER.createObjectNode().put("file", file).put("valid", true);
	}

	private static String readValidManifest(String file) {
		String text;
		try {
			text = Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			throw new CliException(ExitStatus.USAGE, "can't read manifest " + file + ": " + ex);
		}
		List<ValidationError> errors = ManifestReader.read(text).fold((invalid) -> invalid, (manifest) -> List.of());
		if (!errors.isEmpty()) {
			throw new CliException(ExitStatus.USAGE, file + " has " + errors.size() + " faults:\n  "
					+ String.join("\n  ", errors.stream().map(ValidationError::toString).toList()));
		}
		return text;
	}

	JsonNode status() {
		return this.commandLine.node().get("status");
	}

	JsonNode nodes() {
		return this.commandLine.node().get("nodes");
	}

	JsonNode rollout() {
		String action = this.commandLine.argument(0, "show or take-back");
		return switch (action) {
			case "show" -> this.commandLine.node().get("rollouts");
			case "take-back" ->
				this.commandLine.node().post("rollouts/" + this.commandLine.argument(1, "SERVICE") + "/take-back", "");
			default -> throw new CliException(ExitStatus.USAGE, "rollout takes show or take-back, not " + action);
		};
	}

	JsonNode drain() {
		String name = this.commandLine.argument(0, "NODE");
		NodeClient node = this.commandLine.node();
		JsonNode row = findReachableNode(node, name);
		JsonNode result = node.withAddress(row.get("callerAddress").asText()).post("drain", "");
		if (this.commandLine.waitMillis().isPresent()) {
			NodeClient observer = findObserver(node, row);
			awaitCondition("node " + name + " to leave", () -> hasLeft(observer, row.get("node").asText()));
		}
		return result;
	}

	private static JsonNode findReachableNode(NodeClient node, String name) {
		for (JsonNode row : node.get("nodes")) {
			boolean matches = row.get("node").asText().equals(name) || row.get("node").asText().startsWith(name + "~");
			if (matches && row.get("reachable").asBoolean()) {
				return row;
			}
		}
		throw new CliException(ExitStatus.FAILED, "no reachable node has the name " + name);
	}

	/**
	 * Return a node to ask whether the drained node has left.
	 * @param node client of any node
	 * @param drained the row of the drained node in the list of nodes
	 * @return client of another reachable node
	 */
	private static NodeClient findObserver(NodeClient node, JsonNode drained) {
		for (JsonNode row : node.get("nodes")) {
			if (!row.get("node").equals(drained.get("node")) && row.get("reachable").asBoolean()) {
				return node.withAddress(row.get("callerAddress").asText());
			}
		}
		throw new CliException(ExitStatus.FAILED, "no other node is reachable to observe the drain");
	}

	private static boolean hasLeft(NodeClient observer, String name) {
		for (JsonNode row : observer.get("nodes")) {
			if (row.get("node").asText().equals(name)) {
				return !row.get("reachable").asBoolean();
			}
		}
		return true;
	}

	JsonNode audit() {
		ArrayNode entries = (ArrayNode) this.commandLine.node().get("audit");
		int limit = this.commandLine.limit();
		while (entries.size() > limit) {
			entries.remove(0);
		}
		return entries;
	}

	JsonNode requests() {
		String key = this.commandLine.argument(0, "KEY");
		NodeClient node = this.commandLine.node();
		JsonNode report = node.get("requests/" + key);
		for (JsonNode row : node.get("nodes")) {
			if (row.get("node").equals(report.get("owner")) && row.get("reachable").asBoolean()) {
				return node.withAddress(row.get("callerAddress").asText()).get("requests/" + key);
			}
		}
		return report;
	}

	private void awaitCondition(String description, BooleanSupplier condition) {
		long waitMillis = this.commandLine.waitMillis().orElseThrow();
		long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
		this.progress.print("waiting for " + description);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNanos) {
				this.progress.println(" timed out");
				throw new CliException(ExitStatus.TIMED_OUT,
						"timed out after " + waitMillis + " ms waiting for " + description);
			}
			this.progress.print(".");
			sleep();
		}
		this.progress.println(" done");
	}

	private static void sleep() {
		try {
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CliException(ExitStatus.FAILED, "interrupted");
		}
	}

}
