package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for the platform: the metadata store, as a log, and the calls of the singleton
 * duties. It answers at once, loses nothing and accepts everything.
 */
final class Platform implements AutoCloseable {

	private final ServerSocket listener;

	private final Map<String, List<byte[]>> topics = new HashMap<>();

	private final Map<String, Long> members = new LinkedHashMap<>();

	private long generation;

	private String holder = "";

	Platform() throws IOException {
		this.listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
		Harness.daemon("platform", this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	/** Append the newest value of a key, as the operator or a server does. */
	synchronized void put(String topic, String key, String value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		byte[] content = value.getBytes(StandardCharsets.UTF_8);
		byte[] stored = ByteBuffer.allocate(1 + name.length + content.length)
			.put((byte) name.length)
			.put(name)
			.put(content)
			.array();
		records(topic).add(stored);
		notifyAll();
	}

	private List<byte[]> records(String topic) {
		return this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
	}

	private void accept() throws IOException {
		while (true) {
			Socket socket = this.listener.accept();
			socket.setTcpNoDelay(true);
			Harness.daemon("platform connection", () -> serve(socket));
		}
	}

	private void serve(Socket socket) throws Exception {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				byte[] body = Http.readBody(head, in);
				Reply reply = answer(head, body);
				OutputStream out = socket.getOutputStream();
				ByteArrayOutputStream message = new ByteArrayOutputStream();
				message.writeBytes(("HTTP/1.1 " + reply.status + " -\r\nContent-Type: " + reply.type
						+ "\r\nContent-Length: " + reply.body.length + "\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				message.writeBytes(reply.body);
				out.write(message.toByteArray());
				out.flush();
			}
		}
		catch (IOException ex) {
			// The node closed the connection.
		}
	}

	private Reply answer(Http.Head head, byte[] body) throws Exception {
		String target = head.target();
		int mark = target.indexOf('?');
		String path = (mark < 0) ? target : target.substring(0, mark);
		Map<String, String> query = new HashMap<>();
		if (mark >= 0) {
			for (String pair : target.substring(mark + 1).split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], (parts.length > 1) ? parts[1] : "");
			}
		}
		String text = new String(body, StandardCharsets.UTF_8);
		return switch (path) {
			case "/v1/log-append" -> append(query, body);
			case "/v1/log-read" -> read(query);
			case "/v1/log-newest" -> newest(query.get("topic"));
			case "/v1/log-join" -> join(field(text, "member"));
			case "/v1/log-leave" -> leave(field(text, "member"));
			case "/usage", "/scale" -> Reply.json(200, "{}");
			default -> Reply.json(404, "{}");
		};
	}

	private static String field(String json, String name) {
		int start = json.indexOf("\"" + name + "\":\"") + name.length() + 4;
		return json.substring(start, json.indexOf('"', start));
	}

	private synchronized Reply append(Map<String, String> query, byte[] body) {
		List<byte[]> log = records(query.get("topic"));
		if (query.containsKey("at") && Long.parseLong(query.get("at")) != log.size()) {
			return Reply.json(412, "{\"end\":" + log.size() + "}");
		}
		int offset = log.size();
		ByteBuffer bytes = ByteBuffer.wrap(body);
		while (bytes.hasRemaining()) {
			byte[] stored = new byte[bytes.getInt()];
			bytes.get(stored);
			log.add(stored);
		}
		notifyAll();
		return Reply.json(200, "{\"offset\":" + offset + ",\"end\":" + log.size() + "}");
	}

	private synchronized Reply read(Map<String, String> query) throws Exception {
		List<byte[]> log = records(query.get("topic"));
		int from = Integer.parseInt(query.get("from"));
		long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
		while (log.size() <= from && System.nanoTime() < until) {
			wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(log.size());
		out.writeLong(0);
		long limit = Long.parseLong(query.getOrDefault("maxKb", "1024")) * 1_024;
		for (int i = from; i < log.size() && bytes.size() < limit; i++) {
			out.writeInt(log.get(i).length);
			out.write(log.get(i));
		}
		return new Reply(200, "application/octet-stream", bytes.toByteArray());
	}

	private synchronized Reply newest(String topic) {
		List<byte[]> log = records(topic);
		Map<String, String> items = new LinkedHashMap<>();
		for (int offset = 0; offset < log.size(); offset++) {
			byte[] stored = log.get(offset);
			int keyLength = Byte.toUnsignedInt(stored[0]);
			String key = new String(stored, 1, keyLength, StandardCharsets.UTF_8);
			byte[] value = java.util.Arrays.copyOfRange(stored, 1 + keyLength, stored.length);
			items.remove(key);
			if (value.length > 0) {
				items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
						+ "\",\"offset\":" + offset + "}");
			}
		}
		return Reply.json(200,
				"{\"items\":[" + String.join(",", items.values()) + "],\"hasMore\":false,\"end\":" + log.size() + "}");
	}

	private synchronized Reply join(String member) {
		long now = System.nanoTime() / 1_000_000;
		this.members.put(member, now);
		if (this.members.values().removeIf((last) -> now - last > 3_000)) {
			this.generation++;
		}
		if (!this.members.containsKey(this.holder)) {
			this.holder = member;
			this.generation++;
		}
		return Reply.json(200, "{\"generation\":" + this.generation + ",\"parts\":["
				+ (this.holder.equals(member) ? "[\"duty-holder\",0,0]" : "") + "]}");
	}

	private synchronized Reply leave(String member) {
		this.members.remove(member);
		return Reply.json(200, "{}");
	}

	private record Reply(int status, String type, byte[] body) {

		static Reply json(int status, String json) {
			return new Reply(status, "application/json", json.getBytes(StandardCharsets.UTF_8));
		}

	}

}
