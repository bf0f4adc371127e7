package io.flamingogap.testkit.metadata;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;

import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.http.LoopbackHttpServer;

/**
 * Fake of the platform's metadata store: a log of topics whose partition 0 keeps the
 * newest record of each key, with long polling, conditional appends, and groups. It can
 * be taken back to an earlier copy of itself, as in a drill of the platform.
 */
public final class FakeMetadataStore implements AutoCloseable {

	private static final long SLOW_MILLIS = 500;

	private static final long LATE_MILLIS = 300;

	private static final long SILENT_MILLIS = 60_000;

	private static final String ERA_HEADER = "Store-Era";

	/** The topics whose writers repeat what a restored store has lost. */
	private static final List<String> REPEATED_TOPICS = List.of("keyed.op", "keyed.servers");

	private final Map<String, Topic> topics = new HashMap<>();

	private final Set<String> refusedMembers = ConcurrentHashMap.newKeySet();

	private final Map<String, Integer> openReads = new ConcurrentHashMap<>();

	private final Map<String, Group> groups = new HashMap<>();

	private final LoopbackHttpServer server;

	private StoreFault fault = StoreFault.NONE;

	private long era = 1;

	private boolean eraSent = true;

	private boolean readsPastTheEndWait;

	/**
	 * Start a store on a free port.
	 */
	public FakeMetadataStore() {
		this.server = new LoopbackHttpServer(0, this::handle);
	}

	/**
	 * Return the address on which the store listens.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return this.server.address();
	}

	/**
	 * Set the fault of all calls from now on.
	 * @param newFault the fault
	 */
	public synchronized void setFault(StoreFault newFault) {
		this.fault = newFault;
		notifyAll();
	}

	private synchronized StoreFault fault() {
		return this.fault;
	}

	/**
	 * Set whether the answers name the era.
	 * @param sent {@code false} for a store that doesn't count its restores
	 */
	public synchronized void setEraSent(boolean sent) {
		this.eraSent = sent;
	}

	/**
	 * Set what happens to reads from an offset past the end of a topic.
	 * @param wait {@code true} if they wait like those from the end, {@code false} if
	 * they are answered with status 410
	 */
	public synchronized void setReadsPastTheEndWait(boolean wait) {
		this.readsPastTheEndWait = wait;
	}

	/**
	 * Copy all topics and groups.
	 * @return the copy, which doesn't change any more
	 */
	public synchronized Copy copy() {
		Map<String, Topic> copiedTopics = new HashMap<>();
		this.topics.forEach((name, topic) -> copiedTopics.put(name, topic.copy()));
		Map<String, Group> copiedGroups = new HashMap<>();
		long nowNanos = System.nanoTime();
		this.groups.forEach((name, group) -> copiedGroups.put(name, group.shiftedBy(-nowNanos)));
		return new Copy(copiedTopics, copiedGroups);
	}

	/**
	 * Return to a copy in a new era. Records that were appended after the copy are lost,
	 * and their offsets are given out again. Memberships last as long as they would have
	 * lasted from the copy on. Reads that are waiting get no answer.
	 * @param copy the copy, which can be restored again
	 * @return the lost records of operators and backend servers, in their order
	 */
	public synchronized List<LostRecord> restore(Copy copy) {
		List<LostRecord> lost = new ArrayList<>();
		for (String name : REPEATED_TOPICS) {
			long keptEnd = copy.topics.containsKey(name) ? copy.topics.get(name).end() : 0;
			Topic topic = findOrCreateTopic(name);
			topic.records.subList((int) keptEnd, (int) topic.end())
				.forEach((content) -> lost.add(new LostRecord(name, decodeKey(content),
						new String(decodeValue(content), StandardCharsets.UTF_8))));
		}
		this.topics.clear();
		copy.topics.forEach((name, topic) -> this.topics.put(name, topic.copy()));
		this.groups.clear();
		long nowNanos = System.nanoTime();
		copy.groups.forEach((name, group) -> this.groups.put(name, group.shiftedBy(nowNanos)));
		this.era++;
		notifyAll();
		return lost;
	}

	/**
	 * Write the newest lost record of each key again, as operators and backend servers
	 * do. Faults don't apply.
	 * @param lost the lost records, in their order
	 */
	public synchronized void writeAgain(List<LostRecord> lost) {
		Map<List<String>, LostRecord> newestByKey = new LinkedHashMap<>();
		lost.forEach((each) -> newestByKey.put(List.of(each.topic(), each.key()), each));
		newestByKey.values().forEach((each) -> write(each.topic(), each.key(), each.json()));
	}

	/**
	 * Write a record as operators and backend servers do. Faults don't apply.
	 * @param topic the name of the topic
	 * @param key the key
	 * @param json the content; empty to remove the key
	 */
	public synchronized void write(String topic, String key, String json) {
		findOrCreateTopic(topic).append(encodeRecord(key, json.getBytes(StandardCharsets.UTF_8)));
		notifyAll();
	}

	/**
	 * Read the newest record of a key. Faults don't apply.
	 * @param topic the name of the topic
	 * @param key the key
	 * @return the content; empty if there is none
	 */
	public synchronized byte[] newest(String topic, String key) {
		Entry entry = findOrCreateTopic(topic).newest.get(key);
		return (entry != null) ? entry.value() : new byte[0];
	}

	/**
	 * Return the keys of a topic. Faults don't apply.
	 * @param topic the name of the topic
	 * @return the keys that have a record
	 */
	public synchronized Set<String> keys(String topic) {
		return Set.copyOf(findOrCreateTopic(topic).newest.keySet());
	}

	/**
	 * Return whether a read of a topic waits for a record, or its answer is being
	 * written.
	 * @param topic the name of the topic
	 * @return {@code false} once the answers to all reads have been written
	 */
	public boolean hasOpenRead(String topic) {
		return this.openReads.getOrDefault(topic, 0) > 0;
	}

	/**
	 * Drop the records of a topic from its history. The newest record of each key stays.
	 * @param topic the name of the topic
	 */
	public synchronized void dropHistory(String topic) {
		findOrCreateTopic(topic).first = findOrCreateTopic(topic).end();
		notifyAll();
	}

	/**
	 * Remove the holder of each group, as if the holder had stopped sending heartbeats.
	 */
	public synchronized void dissolveGroups() {
		this.groups.values().forEach((group) -> group.holder = "");
	}

	private Topic findOrCreateTopic(String name) {
		return this.topics.computeIfAbsent(name, (created) -> new Topic());
	}

	private static byte[] encodeRecord(String key, byte[] value) {
		byte[] name = key.getBytes(StandardCharsets.UTF_8);
		return ByteBuffer.allocate(1 + name.length + value.length).put((byte) name.length).put(name).put(value).array();
	}

	private static String decodeKey(byte[] content) {
		return new String(content, 1, Byte.toUnsignedInt(content[0]), StandardCharsets.UTF_8);
	}

	private static byte[] decodeValue(byte[] content) {
		return Arrays.copyOfRange(content, 1 + Byte.toUnsignedInt(content[0]), content.length);
	}

	private void handle(HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		try {
			switch (fault()) {
				case NONE -> answer(exchange, body);
				case DOWN -> writeReply(exchange, refusal());
				case UNREACHABLE -> exchange.close();
				case SILENT -> TimeUnit.MILLISECONDS.sleep(SILENT_MILLIS);
				case SLOW -> {
					TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS);
					answer(exchange, body);
				}
				case ANSWER_LOST -> {
					execute(exchange, body);
					exchange.close();
				}
				case APPLIED_LATE -> {
					exchange.close();
					TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
					execute(exchange, body);
				}
			}
		}
		catch (CallEndedException ex) {
			exchange.close();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized Reply refusal() {
		return new Reply(503, new byte[0]).inEra(this.era);
	}

	private void answer(HttpExchange exchange, byte[] body)
			throws IOException, InterruptedException, CallEndedException {
		String topic = query(exchange).getOrDefault("topic", "");
		boolean isRead = exchange.getRequestURI().getPath().equals("/v1/log-read");
		if (isRead) {
			this.openReads.merge(topic, 1, Integer::sum);
		}
		try {
			writeReply(exchange, execute(exchange, body));
		}
		finally {
			if (isRead) {
				this.openReads.merge(topic, -1, Integer::sum);
			}
		}
	}

	private void writeReply(HttpExchange exchange, Reply reply) throws IOException {
		if (isEraSent()) {
			exchange.getResponseHeaders().set(ERA_HEADER, String.valueOf(reply.era()));
		}
		exchange.sendResponseHeaders(reply.status(), (reply.body().length > 0) ? reply.body().length : -1);
		if (reply.body().length > 0) {
			try (OutputStream out = exchange.getResponseBody()) {
				out.write(reply.body());
			}
		}
	}

	private synchronized boolean isEraSent() {
		return this.eraSent;
	}

	private synchronized Reply execute(HttpExchange exchange, byte[] body)
			throws IOException, InterruptedException, CallEndedException {
		Map<String, String> query = query(exchange);
		Reply reply = switch (exchange.getRequestURI().getPath()) {
			case "/v1/log-append" -> append(query, body);
			case "/v1/log-read" -> read(query);
			case "/v1/log-newest" -> newest(query);
			case "/v1/log-join" -> join(Json.parse(new String(body, StandardCharsets.UTF_8)));
			case "/v1/log-leave" -> leave(Json.parse(new String(body, StandardCharsets.UTF_8)));
			default -> new Reply(404, new byte[0]);
		};
		return reply.inEra(this.era);
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		String text = exchange.getRequestURI().getQuery();
		for (String pair : ((text != null) ? text : "").split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals), pair.substring(equals + 1));
			}
		}
		return query;
	}

	private synchronized Reply append(Map<String, String> query, byte[] body) {
		Topic topic = findOrCreateTopic(query.get("topic"));
		String at = query.get("at");
		if (at != null && Long.parseLong(at) != topic.end()) {
			return Reply.json(412, Map.of("end", topic.end()));
		}
		long offset = topic.end();
		ByteBuffer bytes = ByteBuffer.wrap(body);
		while (bytes.remaining() > 0) {
			byte[] content = new byte[bytes.getInt()];
			bytes.get(content);
			topic.append(content);
		}
		notifyAll();
		return Reply.json(200, Map.of("offset", offset, "end", topic.end()));
	}

	private synchronized Reply read(Map<String, String> query)
			throws IOException, InterruptedException, CallEndedException {
		Topic topic = findOrCreateTopic(query.get("topic"));
		long startEra = this.era;
		long from = Long.parseLong(query.get("from"));
		long deadlineNanos = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("waitMs", "0")));
		boolean refused = from > topic.end() && !this.readsPastTheEndWait;
		while (!refused && topic.end() <= from && from >= topic.first && System.nanoTime() < deadlineNanos) {
			TimeUnit.NANOSECONDS.timedWait(this, deadlineNanos - System.nanoTime());
			if (this.era != startEra || this.fault == StoreFault.UNREACHABLE) {
				throw new CallEndedException();
			}
		}
		if (refused || from < topic.first) {
			return Reply.json(410, Map.of("first", topic.first));
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		DataOutputStream out = new DataOutputStream(bytes);
		out.writeLong(topic.end());
		out.writeLong(topic.first);
		for (long offset = from; offset < topic.end(); offset++) {
			byte[] content = topic.records.get((int) offset);
			out.writeInt(content.length);
			out.write(content);
		}
		return new Reply(200, bytes.toByteArray());
	}

	private synchronized Reply newest(Map<String, String> query) {
		Topic topic = findOrCreateTopic(query.get("topic"));
		List<Map<String, Object>> items = new ArrayList<>();
		topic.newest.forEach((key, entry) -> items.add(Map.of("key", key, "value",
				Base64.getEncoder().encodeToString(entry.value()), "offset", entry.offset())));
		return Reply.json(200, Map.of("items", items, "hasMore", false, "end", topic.end()));
	}

	private synchronized Reply join(JsonNode body) {
		Group group = this.groups.computeIfAbsent(body.get("group").asText(), (name) -> new Group());
		String member = body.get("member").asText();
		if (this.refusedMembers.contains(member)) {
			return Reply.json(503, Map.of());
		}
		long nowNanos = System.nanoTime();
		if (group.holder.isEmpty() || nowNanos > group.expiresAtNanos) {
			group.holder = member;
			group.generation++;
		}
		if (group.holder.equals(member)) {
			group.ttlNanos = TimeUnit.MILLISECONDS.toNanos(body.get("ttlMs").asLong());
			group.expiresAtNanos = nowNanos + group.ttlNanos;
		}
		List<Object> parts = group.holder.equals(member) ? List.of(List.of(body.get("topics").get(0).asText(), 0, 0))
				: List.of();
		return Reply.json(200,
				Map.of("generation", group.generation, "ttlMs", body.get("ttlMs").asLong(), "parts", parts));
	}

	/**
	 * Set whether the store refuses to keep a member in its groups.
	 * @param member the name of the member
	 * @param refused {@code true} to answer its calls with status 503
	 */
	public void setMemberRefused(String member, boolean refused) {
		if (refused) {
			this.refusedMembers.add(member);
		}
		else {
			this.refusedMembers.remove(member);
		}
	}

	/**
	 * Assign all partitions of all groups to a member at once, without any request.
	 * @param member the name of the member
	 */
	public synchronized void reassignTo(String member) {
		this.groups.values().forEach((group) -> {
			group.holder = member;
			group.generation++;
			group.expiresAtNanos = System.nanoTime() + group.ttlNanos;
		});
	}

	private synchronized Reply leave(JsonNode body) {
		Group group = this.groups.get(body.get("group").asText());
		if (group != null && group.holder.equals(body.get("member").asText())) {
			group.holder = "";
		}
		return Reply.json(200, Map.of());
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * A copy of all topics and groups.
	 */
	public static final class Copy {

		private final Map<String, Topic> topics;

		/** The memberships end at a time that counts from the copy. */
		private final Map<String, Group> groups;

		private Copy(Map<String, Topic> topics, Map<String, Group> groups) {
			this.topics = topics;
			this.groups = groups;
		}

	}

	/**
	 * A record that the store had acknowledged and has lost.
	 *
	 * @param topic the name of the topic
	 * @param key the key
	 * @param json the content; empty if the record removed the key
	 */
	public record LostRecord(String topic, String key, String json) {
	}

	/**
	 * Thrown to close the connection of a call without an answer.
	 */
	private static final class CallEndedException extends Exception {

		private static final long serialVersionUID = 1L;

	}

	private record Entry(byte[] value, long offset) {
	}

	private record Reply(int status, byte[] body, long era) {

		private Reply(int status, byte[] body) {
			this(status, body, 0);
		}

		private Reply inEra(long newEra) {
			return new Reply(this.status, this.body, newEra);
		}

		private static Reply json(int status, Map<String, ?> fields) {
			return new Reply(status, Json.write(new LinkedHashMap<>(fields)).getBytes(StandardCharsets.UTF_8));
		}

	}

	private static final class Group {

		private String holder = "";

		private long expiresAtNanos;

		private long ttlNanos;

		private long generation;

		private Group shiftedBy(long nanos) {
			Group shifted = new Group();
			shifted.holder = this.holder;
			shifted.expiresAtNanos = this.expiresAtNanos + nanos;
			shifted.ttlNanos = this.ttlNanos;
			shifted.generation = this.generation;
			return shifted;
		}

	}

	private static final class Topic {

		private final List<byte[]> records = new ArrayList<>();

		private final Map<String, Entry> newest = new TreeMap<>();

		private long first;

		private Topic copy() {
			Topic copy = new Topic();
			copy.records.addAll(this.records);
			copy.newest.putAll(this.newest);
			copy.first = this.first;
			return copy;
		}

		private long end() {
			return this.records.size();
		}

		private void append(byte[] content) {
			String key = decodeKey(content);
			byte[] value = decodeValue(content);
			if (value.length > 0) {
				this.newest.put(key, new Entry(value, end()));
			}
			else {
				this.newest.remove(key);
			}
			this.records.add(content);
		}

	}

}
