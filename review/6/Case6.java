import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A config that sets a tenant's rate without a burst. With VARIANT=tokens: a tenant whose plain requests cost no tokens
 * sends many times its usual number of tokens.
 */
final class Case6 {

	private static final long TIMEOUT_MILLIS = 3_000;

	private static final long APPLY_MILLIS = 2_500;

	private static final int REQUESTS = 60;

	private static final long USUAL_PAUSE_MILLIS = 5_000;

	private static final String KEY = "key-of-hule930";

	private Case6() {
	}

	private static String config(int version, String allowance) {
		return "{\"version\":" + version + ",\"routes\":["
				+ "{\"name\":\"r-booking\",\"host\":\"site.example\",\"prefix\":\"/booking/\",\"kind\":\"non_idempotent\",\"timeoutMs\":"
				+ TIMEOUT_MILLIS + ",\"goalMs\":400,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2,\"public\":false}],"
				+ "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"proto\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
				+ "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" + KEY + "\"]" + allowance + "}]}";
	}

	/** Sends requests with as many tokens as the site's contract drafts. */
	private static void sendDrafts(Fleet fleet, long pauseMillis) {
		try {
			for (int i = 0; true; i++) {
				int node = i % Fleet.NODES;
				Backend.daemon(() -> {
					String id = Client.newAttemptId();
					String request = Client.head("POST", "/booking/draft", id, TIMEOUT_MILLIS, KEY)
							+ "Token-Counts: 11992,380\r\nContent-Length: 0\r\n\r\n";
					fleet.record("draft: request " + id + " was answered " + Client.send(fleet.front(node), request, 6_000).status());
				});
				Thread.sleep(pauseMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void finish(Fleet fleet, List<Client.Answer> after) {
		long late = after.stream().filter((answer) -> answer.status() == 0 || answer.millis() > TIMEOUT_MILLIS).count();
		long unanswered = after.stream()
			.filter((answer) -> answer.status() == 0 || answer.millis() > TIMEOUT_MILLIS + 500)
			.count();
		boolean broken = unanswered >= 8 && 2 * unanswered > late;
		fleet.record(after.size() + " requests, " + late + " unanswered at timeoutMs, " + unanswered
				+ " still unanswered 0.5 s later; CONFIG " + (broken ? "is broken" : "holds"));
		fleet.close();
		System.exit(broken ? 1 : 0);
	}

	private static List<Client.Answer> sendAll(Fleet fleet, String phase) throws InterruptedException {
		List<Client.Answer> answers = new CopyOnWriteArrayList<>();
		ExecutorService callers = Executors.newFixedThreadPool(REQUESTS);
		for (int i = 0; i < REQUESTS; i++) {
			int number = i;
			callers.submit(() -> {
				String id = Client.newAttemptId();
				String request = Client.head("POST", "/booking/" + number, id, TIMEOUT_MILLIS, KEY)
						+ "Content-Length: 4\r\n\r\nlot\n";
				Client.Answer answer = Client.send(fleet.front(number % Fleet.NODES), request, 2 * TIMEOUT_MILLIS);
				fleet.record(phase + ": request " + id + " at node " + number % Fleet.NODES
						+ ((answer.status() == 0) ? " has no answer" : " was answered " + answer.status() + " " + answer.body())
						+ " after " + answer.millis() + " ms");
				answers.add(answer);
			});
			Thread.sleep(100);
		}
		callers.shutdown();
		callers.awaitTermination(30, TimeUnit.SECONDS);
		return answers;
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		try (Fleet fleet = new Fleet(Path.of("review/6"))) {
			for (int i = 0; i < 3; i++) {
				new Backend(fleet, "i-desk-" + i, "desk", fleet.serverAddress(i), "zone-" + i, 6);
			}
			fleet.config(config(1, ",\"ratePerS\":50,\"burst\":50"));
			fleet.startAll();
			Thread.sleep(4_000);
			List<Client.Answer> before = sendAll(fleet, "version 1");
			if (before.stream().filter((answer) -> answer.status() == 200).count() < REQUESTS / 2) {
				fleet.record("the case couldn't run: version 1 isn't served");
				System.exit(2);
			}
			if ("tokens".equals(System.getenv("VARIANT"))) {
				fleet.config(config(2, ",\"unit\":\"tokens\",\"plainTokens\":0,\"ratePerS\":3000,\"burst\":15000"));
				Thread.sleep(2 * APPLY_MILLIS);
				Backend.daemon(() -> sendDrafts(fleet, trouble ? USUAL_PAUSE_MILLIS * 2 / 15 : USUAL_PAUSE_MILLIS));
				Thread.sleep(3_000);
				finish(fleet, sendAll(fleet, "version 2"));
			}
			fleet.config(config(2, trouble ? ",\"ratePerS\":40" : ",\"ratePerS\":40,\"burst\":40"));
			Thread.sleep(2 * APPLY_MILLIS);
			finish(fleet, sendAll(fleet, "version 2"));
		}
	}

}
