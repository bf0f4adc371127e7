package io.flamingogap.testkit.check;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

import io.flamingogap.testkit.backends.FakeEngine;
import io.flamingogap.testkit.check.CallerClient.EntryNodeReply;
import io.flamingogap.testkit.check.CallerClient.EntryReply;
import io.flamingogap.testkit.check.CallerClient.Reply;
import io.flamingogap.testkit.check.CallerClient.StreamReply;
import io.flamingogap.testkit.http.Json;

/**
 * End-to-end checks of running daemons. Prints one line per check.
 */
public final class LocalCheck {

	private static final String MESSAGES = "[{\"role\":\"user\",\"content\":\"price of a lot of carob\"}]";

	private static final int TOKENS_PER_STREAM = 24;

	private static final int LOAD_CALLERS = 8;

	private static final long CONDITION_TIMEOUT_MILLIS = 15_000;

	private final HttpClient http = HttpClient.newHttpClient();

	private final List<String> nodes;

	private final String serviceAddress;

	private final String operatorKey;

	private final Path manifest;

	private final CallerClient caller;

	private boolean allPassed = true;

	private LocalCheck(List<String> nodes, String serviceAddress, String accountKey, String operatorKey,
			Path manifest) {
		this.nodes = nodes;
		this.serviceAddress = serviceAddress;
		this.operatorKey = operatorKey;
		this.manifest = manifest;
		this.caller = new CallerClient(accountKey);
	}

	/**
	 * Run the checks.
	 * @param args the command-line options
	 * @return 0 if every check passed, else 1
	 * @throws Exception if a check can't be run
	 */
	public static int run(List<String> args) throws Exception {
		OptionParser parser = new OptionParser();
		OptionSpec<String> nodes = parser.accepts("nodes").withRequiredArg().withValuesSeparatedBy(',').required();
		OptionSpec<String> service = parser.accepts("service").withRequiredArg().required();
		OptionSpec<String> accountKey = parser.accepts("account-key").withRequiredArg().required();
		OptionSpec<String> operatorKey = parser.accepts("operator-key").withRequiredArg().required();
		OptionSpec<String> manifest = parser.accepts("manifest").withRequiredArg().required();
		OptionSet options = parser.parse(args.toArray(String[]::new));
		LocalCheck check = new LocalCheck(options.valuesOf(nodes), options.valueOf(service),
				options.valueOf(accountKey), options.valueOf(operatorKey), Path.of(options.valueOf(manifest)));
		return check.runAll();
	}

	private int runAll() {
		check("all nodes know each other", this::allNodesKnowEachOther);
		check("entry answer names nodes of several zones", this::entryAnswerNamesNodesOfSeveralZones);
		check("streamed answer is whole", this::streamedAnswerIsComplete);
		check("lookup is answered", this::lookupIsAnswered);
		check("booking is executed", this::bookingIsExecuted);
		check("booking retried at another node is executed once, same answer", this::retriedBookingIsExecutedOnce);
		check("caller without a key is refused", this::callerWithUnknownKeyIsRefused);
		check("manifest change is in force at all nodes", this::manifestChangeIsInForceAtAllNodes);
		check("planned stop under load cuts off no request", this::plannedStopInterruptsNoRequest);
		return this.allPassed ? 0 : 1;
	}

	private void check(String name, Callable<String> step) {
		long startNanos = System.nanoTime();
		String problem;
		try {
			problem = step.call();
		}
		catch (Exception ex) {
			problem = ex.toString();
		}
		long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		boolean passed = problem.isEmpty();
		this.allPassed &= passed;
		System.out
			.println((passed ? "ok   " : "FAIL ") + name + " (" + tookMillis + " ms)" + (passed ? "" : ": " + problem));
	}

	private String allNodesKnowEachOther() throws Exception {
		return await(() -> {
			for (String node : this.nodes) {
				int serving = servingNodes(operatorGet(node, "nodes"));
				if (serving != this.nodes.size()) {
					return node + " knows " + serving + " of " + this.nodes.size();
				}
			}
			return "";
		});
	}

	private static int servingNodes(JsonNode rows) {
		int serving = 0;
		for (JsonNode row : rows) {
			if ("SERVING".equals(row.get("state").asText()) && row.get("reachable").asBoolean()) {
				serving++;
			}
		}
		return serving;
	}

	private String entryAnswerNamesNodesOfSeveralZones() {
		EntryReply entry = this.caller.entry(this.nodes.get(0));
		long zones = entry.nodes().stream().map(EntryNodeReply::zone).distinct().count();
		return (zones == entry.nodes().size() && zones > 1 && entry.ttlMillis() > 0) ? "" : entry.toString();
	}

	private String streamedAnswerIsComplete() {
		StreamReply reply = this.caller.stream(this.nodes.get(1), streamRequest(), Optional.empty());
		return isComplete(reply) ? "" : reply.toString();
	}

	private static boolean isComplete(StreamReply reply) {
		return reply.whole() && reply.text().equals(expectedText());
	}

	private static String streamRequest() {
		return "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":" + TOKENS_PER_STREAM + ",\"messages\":"
				+ MESSAGES + "}";
	}

	private static String expectedText() {
		StringBuilder text = new StringBuilder();
		for (int position = 0; position < TOKENS_PER_STREAM; position++) {
			text.append(FakeEngine.token(MESSAGES, position));
		}
		return text.toString();
	}

	private String lookupIsAnswered() {
		Reply reply = this.caller.call(this.nodes.get(0), "GET", "/services/desk/lots/17", Optional.empty(), "");
		return (reply.status() == 200) ? "" : reply.toString();
	}

	private String bookingIsExecuted() throws Exception {
		EntryNodeReply node = this.caller.entry(this.nodes.get(0)).nodes().get(0);
		String key = this.caller.newKey(node);
		Reply reply = book(node.address(), key);
		int executions = executions(key);
		return (reply.status() == 201 && executions == 1) ? "" : reply + ", " + executions + " executions";
	}

	private String retriedBookingIsExecutedOnce() throws Exception {
		List<EntryNodeReply> entry = this.caller.entry(this.nodes.get(0)).nodes();
		String key = this.caller.newKey(entry.get(0));
		Reply first = book(entry.get(0).address(), key);
		Reply second = book(entry.get(1).address(), key);
		Reply third = book(entry.get(entry.size() - 1).address(), key);
		int executions = executions(key);
		boolean same = first.equals(second) && first.equals(third) && first.status() == 201;
		return (same && executions == 1) ? "" : first + ", " + second + ", " + third + ", executions " + executions;
	}

	private Reply book(String address, String key) {
		return this.caller.call(address, "POST", "/services/desk/bookings", Optional.of(key), "{\"lot\":17}");
	}

	private int executions(String key) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + this.serviceAddress + "/control/executions"))
			.build();
		String body = this.http.send(request, HttpResponse.BodyHandlers.ofString()).body();
		return Json.parse(body).path(key).asInt(0);
	}

	private String callerWithUnknownKeyIsRefused() {
		Reply reply = new CallerClient("nobody").call(this.nodes.get(0), "GET", "/services/desk/lots/1",
				Optional.empty(), "");
		return (reply.status() == 401 && reply.body().contains("not-run")) ? "" : reply.toString();
	}

	private String manifestChangeIsInForceAtAllNodes() throws Exception {
		long base = operatorGet(this.nodes.get(0), "manifest").get("offset").asLong();
		ObjectNode change = (ObjectNode) Json.parse("{}");
		change.put("id", "local-check-" + System.nanoTime());
		change.put("baseOffset", base);
		change.put("manifest", Files.readString(this.manifest) + "\n# changed by the check\n");
		JsonNode verdict = operatorPost(this.nodes.get(0), "manifests", change.toString());
		long offset = verdict.path("offset").asLong();
		if (!verdict.path("accepted").asBoolean()) {
			return verdict.toString();
		}
		return await(() -> {
			for (String node : this.nodes) {
				long inForce = operatorGet(node, "status").get("configOffset").asLong();
				if (inForce != offset) {
					return node + " is at offset " + inForce + ", not " + offset;
				}
			}
			return "";
		});
	}

	private String plannedStopInterruptsNoRequest() throws Exception {
		AtomicBoolean running = new AtomicBoolean(true);
		ExecutorService pool = Executors.newFixedThreadPool(LOAD_CALLERS);
		List<Future<LoadCaller.Tally>> callers = new ArrayList<>();
		for (int i = 0; i < LOAD_CALLERS; i++) {
			LoadCaller load = new LoadCaller(this.caller, this.nodes, i, streamRequest(), expectedText());
			callers.add(pool.submit(() -> load.run(running)));
		}
		String drained = this.nodes.get(this.nodes.size() - 1);
		TimeUnit.MILLISECONDS.sleep(1_000);
		operatorPost(drained, "drain", "");
		String drainProblem = await(() -> hasLeft(drained) ? "" : drained + " has not left");
		TimeUnit.MILLISECONDS.sleep(500);
		running.set(false);
		LoadCaller.Tally total = LoadCaller.Tally.empty();
		for (Future<LoadCaller.Tally> caller : callers) {
			total = total.plus(caller.get());
		}
		pool.shutdown();
		System.out.println("     " + total.requests() + " requests, " + total.failures().size() + " failed");
		return total.failures().isEmpty() ? drainProblem : total.failures().get(0);
	}

	private boolean hasLeft(String address) throws Exception {
		for (JsonNode row : operatorGet(this.nodes.get(0), "nodes")) {
			if (row.get("callerAddress").asText().equals(address)) {
				return !row.get("reachable").asBoolean();
			}
		}
		return true;
	}

	private JsonNode operatorGet(String node, String resource) throws IOException, InterruptedException {
		return operator(node, resource, HttpRequest.newBuilder().GET());
	}

	private JsonNode operatorPost(String node, String resource, String body) throws IOException, InterruptedException {
		return operator(node, resource, HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.ofString(body)));
	}

	private JsonNode operator(String node, String resource, HttpRequest.Builder request)
			throws IOException, InterruptedException {
		HttpRequest built = request.uri(URI.create("http://" + node + "/operator/v1/" + resource))
			.header("Authorization", "Bearer " + this.operatorKey)
			.build();
		return Json.parse(this.http.send(built, HttpResponse.BodyHandlers.ofString()).body());
	}

	private static String await(Callable<String> condition) throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONDITION_TIMEOUT_MILLIS);
		String problem = condition.call();
		while (!problem.isEmpty() && System.nanoTime() < deadlineNanos) {
			TimeUnit.MILLISECONDS.sleep(50);
			problem = condition.call();
		}
		return problem;
	}

}
