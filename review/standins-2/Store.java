import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: keyed topics with one partition each, and one group. */
final class Store {

	private static final Pattern MEMBER = Pattern.compile("\"member\":\"([^\"]*)\"");

	private static final Pattern TTL = Pattern.compile("\"ttlMs\":(\\d+)");

	private static final Pattern TOPIC = Pattern.compile("\"topics\":\\[\"([^\"]*)\"");

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	private final Map<String, Long> memberUntilMillis = new LinkedHashMap<>();

	private final HttpServer server;

	private String holder = "";

	private long generation = 1;

	Store(InetSocketAddress address) throws IOException {
		this.server = HttpServer.create(address, 256);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", (exchange) -> {
			try {
				answer(exchange);
			}
			catch (RuntimeException | InterruptedException ex) {
				exchange.sendResponseHeaders(500, -1);
			}
			finally {
				exchange.close();
			}
		});
		this.server.start();
	}

	/** Appends a record, as the operator and the servers do. Without a value, the key is removed. */
	synchronized long put(String topic, String key, String value) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
		ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
		content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
		List<byte[]> log = this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
		log.add(content.array());
		notifyAll();
		return log.size() - 1L;
	}

	private void answer(HttpExchange exchange) throws IOException, InterruptedException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
		switch (exchange.getRequestURI().getPath()) {
			case "/v1/log-read" -> read(exchange, query);
			case "/v1/log-newest" -> newest(exchange, query);
			case "/v1/log-append" -> append(exchange, query, body);
			case "/v1/log-join" -> json(exchange, 200, join(new String(body, StandardCharsets.UTF_8)));
			case "/v1/log-leave" -> {
				leave(find(MEMBER, new String(body, StandardCharsets.UTF_8)));
				json(exchange, 200, "{}");
			}
			default -> json(exchange, 404, "{}");
		}
	}

	private void read(HttpExchange exchange, Map<String, String> query) throws IOException, InterruptedException {
		long untilMillis = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
		int from = Integer.parseInt(query.get("from"));
		long maxBytes = Long.parseLong(query.getOrDefault("maxKb", "1024")) * 1024;
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		synchronized (this) {
			List<byte[]> log = this.topics.computeIfAbsent(query.get("topic"), (name) -> new ArrayList<>());
			for (long left = untilMillis - System.currentTimeMillis(); log.size() <= from
					&& left > 0; left = untilMillis - System.currentTimeMillis()) {
				wait(left);
			}
			out.writeBytes(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
			for (int i = from; i < log.size() && (i == from || out.size() + log.get(i).length < maxBytes); i++) {
				out.writeBytes(ByteBuffer.allocate(4).putInt(log.get(i).length).array());
				out.writeBytes(log.get(i));
			}
		}
		exchange.sendResponseHeaders(200, out.size());
		exchange.getResponseBody().write(out.toByteArray());
	}

	private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
		StringBuilder items = new StringBuilder();
		int end;
		synchronized (this) {
			List<byte[]> log = this.topics.computeIfAbsent(query.get("topic"), (name) -> new ArrayList<>());
			end = log.size();
			TreeMap<String, Integer> newest = new TreeMap<>();
			for (int i = 0; i < end; i++) {
				byte[] content = log.get(i);
				String key = new String(content, 1, content[0], StandardCharsets.UTF_8);
				if (content.length > 1 + content[0]) {
					newest.put(key, i);
				}
				else {
					newest.remove(key);
				}
			}
			newest.forEach((key, offset) -> {
				byte[] content = log.get(offset);
				byte[] value = Arrays.copyOfRange(content, 1 + content[0], content.length);
				items.append(items.isEmpty() ? "" : ",")
					.append("{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
							+ "\",\"offset\":" + offset + "}");
			});
		}
		json(exchange, 200, "{\"items\":[" + items + "],\"hasMore\":false,\"end\":" + end + "}");
	}

	private void append(HttpExchange exchange, Map<String, String> query, byte[] body) throws IOException {
		int status = 200;
		String reply;
		synchronized (this) {
			List<byte[]> log = this.topics.computeIfAbsent(query.get("topic"), (name) -> new ArrayList<>());
			int offset = log.size();
			if (query.containsKey("at") && Integer.parseInt(query.get("at")) != offset) {
				status = 412;
				reply = "{\"end\":" + offset + "}";
			}
			else {
				for (ByteBuffer records = ByteBuffer.wrap(body); records.remaining() > 4;) {
					byte[] content = new byte[records.getInt()];
					records.get(content);
					log.add(content);
				}
				reply = "{\"offset\":" + offset + ",\"end\":" + log.size() + "}";
				notifyAll();
			}
		}
		json(exchange, status, reply);
	}

	private synchronized String join(String body) {
		String member = find(MEMBER, body);
		long nowMillis = System.currentTimeMillis();
		this.memberUntilMillis.put(member, nowMillis + Long.parseLong(find(TTL, body)));
		deal(nowMillis);
		return "{\"generation\":" + this.generation + ",\"ttlMs\":" + find(TTL, body) + ",\"parts\":["
				+ (this.holder.equals(member) ? "[\"" + find(TOPIC, body) + "\",0,0]" : "") + "]}";
	}

	private synchronized void leave(String member) {
		this.memberUntilMillis.remove(member);
		deal(System.currentTimeMillis());
	}

	private void deal(long nowMillis) {
		this.memberUntilMillis.values().removeIf((untilMillis) -> nowMillis > untilMillis);
		if (!this.memberUntilMillis.containsKey(this.holder)) {
			this.holder = this.memberUntilMillis.keySet().stream().findFirst().orElse("");
			this.generation++;
		}
	}

	private static String find(Pattern pattern, String text) {
		Matcher matcher = pattern.matcher(text);
		return matcher.find() ? matcher.group(1) : "";
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> query = new HashMap<>();
		for (String pair : (raw != null) ? raw.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			query.put(pair.substring(0, equals), pair.substring(equals + 1));
		}
		return query;
	}

	private static void json(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

}
