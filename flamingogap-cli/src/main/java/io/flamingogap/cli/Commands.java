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
 * The commands, each of which returns the result to print.
 */
final class Commands {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long LOOK_MILLIS = 200;

	private final CommandLine line;

	private final PrintStream progress;

	Commands(CommandLine line, PrintStream progress) {
		this.line = line;
		this.progress = progress;
	}

	JsonNode apply() {
		String manifest = readValid(this.line.argument(0, "FILE"));
		NodeClient node = this.line.node();
		ObjectNode change = MAPPER.createObjectNode();
		change.put("id", this.line.changeId().orElseGet(() -> UUID.randomUUID().toString()));
		change.put("baseOffset", this.line.baseOffset().orElseGet(() -> node.get("manifest").get("offset").asLong()));
		change.put("manifest", manifest);
		JsonNode verdict = node.post("manifests", change.toString());
		if (this.line.waitMillis().isPresent()) {
			long offset = verdict.get("offset").asLong();
			await("configuration in force at all nodes", () -> isInForce(node, offset));
		}
		return verdict;
	}

	private boolean isInForce(NodeClient node, long offset) {
		for (JsonNode member : node.get("nodes")) {
			boolean asked = member.get("reachable").asBoolean() && "SERVING".equals(member.get("state").asText());
			if (asked && node.at(member.get("callerAddress").asText())
				.get("status")
				.get("configOffset")
				.asLong() < offset) {
				return false;
			}
		}
		return true;
	}

	JsonNode validate() {
		String file = this.line.argument(0, "FILE");
		readValid(file);
		return MAPPER.createObjectNode().put("file", file).put("valid", true);
	}

	private static String readValid(String file) {
		String text;
		try {
			text = Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			throw new CliException(ExitStatus.USAGE, "can't read " + ex.getMessage());
		}
		List<ValidationError> faults = ManifestReader.read(text).fold((found) -> found, (manifest) -> List.of());
		if (!faults.isEmpty()) {
			throw new CliException(ExitStatus.USAGE, file + " has " + faults.size() + " faults:\n  "
					+ String.join("\n  ", faults.stream().map(ValidationError::toString).toList()));
		}
		return text;
	}

	JsonNode status() {
		return this.line.node().get("status");
	}

	JsonNode nodes() {
		return this.line.node().get("nodes");
	}

	JsonNode rollout() {
		String action = this.line.argument(0, "show or take-back");
		return switch (action) {
			case "show" -> this.line.node().get("rollouts");
			case "take-back" ->
				this.line.node().post("rollouts/" + this.line.argument(1, "SERVICE") + "/take-back", "");
			default -> throw new CliException(ExitStatus.USAGE, "rollout takes show or take-back, not " + action);
		};
	}

	JsonNode drain() {
		String name = this.line.argument(0, "NODE");
		NodeClient node = this.line.node();
		JsonNode member = member(node, name);
		JsonNode result = node.at(member.get("callerAddress").asText()).post("drain", "");
		if (this.line.waitMillis().isPresent()) {
			NodeClient observer = observer(node, member);
			await("node " + name + " gone", () -> hasLeft(observer, member.get("node").asText()));
		}
		return result;
	}

	private static JsonNode member(NodeClient node, String name) {
		for (JsonNode member : node.get("nodes")) {
			boolean matches = member.get("node").asText().equals(name)
					|| member.get("node").asText().startsWith(name + "~");
			if (matches && member.get("reachable").asBoolean()) {
				return member;
			}
		}
		throw new CliException(ExitStatus.FAILED, "no reachable node is named " + name);
	}

	/**
	 * Return a node that outlives the drained one.
	 * @param node any node
	 * @param drained the row of the drained node
	 * @return another reachable node
	 */
	private static NodeClient observer(NodeClient node, JsonNode drained) {
		for (JsonNode member : node.get("nodes")) {
			if (!member.get("node").equals(drained.get("node")) && member.get("reachable").asBoolean()) {
				return node.at(member.get("callerAddress").asText());
			}
		}
		throw new CliException(ExitStatus.FAILED, "no other node is left to observe the drain");
	}

	private static boolean hasLeft(NodeClient observer, String name) {
		for (JsonNode member : observer.get("nodes")) {
			if (member.get("node").asText().equals(name)) {
				return !member.get("reachable").asBoolean();
			}
		}
		return true;
	}

	JsonNode audit() {
		ArrayNode entries = (ArrayNode) this.line.node().get("audit");
		int limit = this.line.limit();
		while (entries.size() > limit) {
			entries.remove(0);
		}
		return entries;
	}

	JsonNode requests() {
		String key = this.line.argument(0, "KEY");
		NodeClient node = this.line.node();
		JsonNode report = node.get("requests/" + key);
		for (JsonNode member : node.get("nodes")) {
			if (member.get("node").equals(report.get("owner")) && member.get("reachable").asBoolean()) {
				return node.at(member.get("callerAddress").asText()).get("requests/" + key);
			}
		}
		return report;
	}

	private void await(String what, BooleanSupplier condition) {
		long waitMillis = this.line.waitMillis().orElseThrow();
		long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
		this.progress.print("waiting for " + what);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNanos) {
				this.progress.println(" timed out");
				throw new CliException(ExitStatus.TIMED_OUT, what + ": not within " + waitMillis + " ms");
			}
			this.progress.print(".");
			sleep();
		}
		this.progress.println(" done");
	}

	private static void sleep() {
		try {
			Thread.sleep(LOOK_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CliException(ExitStatus.FAILED, "interrupted");
		}
	}

}
