package io.flamingogap.testkit.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;

import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.http.LoopbackHttpServer;

/**
 * Fake of the platform log: named append-only streams with offsets from 1.
 * <ul>
 * <li>{@code POST /v1/streams/NAME/records} appends the body and answers
 * {@code {"offset": n}}.</li>
 * <li>{@code GET /v1/streams/NAME/records?from=n&max=m&waitMillis=w} answers
 * {@code {"firstOffset", "headOffset", "records": [{"offset", "body"}]}} and waits up to
 * {@code w} for a record at or after {@code n}.</li>
 * <li>{@code POST /control} sets {@code {"mode", "delayMillis"}}; {@code POST
 * /control/truncate} with {@code {"stream", "firstOffset"}} drops the records before that
 * offset.</li>
 * </ul>
 */
public final class FakeLog implements AutoCloseable {

	private static final int UNAVAILABLE = 503;

	private static final int NOT_FOUND = 404;

	private final Map<String, Stream> streams = new HashMap<>();

	private final LoopbackHttpServer server;

	private volatile LogMode mode = LogMode.UP;

	private volatile long delayMillis;

	private long appends;

	/**
	 * Start a log.
	 * @param port the port; 0 for any free one
	 */
	public FakeLog(int port) {
		this.server = new LoopbackHttpServer(port, this::handle);
	}

	private void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		if (path.startsWith("/control")) {
			control(exchange, path);
			return;
		}
		if (this.mode == LogMode.DOWN) {
			Json.answer(exchange, UNAVAILABLE, Map.of("error", "down"));
			return;
		}
		sleep(this.delayMillis);
		String[] parts = path.split("/");
		if (parts.length != 5 || !path.startsWith("/v1/streams/") || !"records".equals(parts[4])) {
			Json.answer(exchange, NOT_FOUND, Map.of("error", "no such path"));
		}
		else if ("POST".equals(exchange.getRequestMethod())) {
			answerAppend(exchange, parts[3]);
		}
		else {
			answerRead(exchange, parts[3]);
		}
	}

	private void control(HttpExchange exchange, String path) throws IOException {
		JsonNode body = Json.parse(Json.body(exchange));
		if (path.endsWith("/truncate")) {
			truncate(body.get("stream").asText(), body.get("firstOffset").asLong());
		}
		else {
			setMode(LogMode.valueOf(body.get("mode").asText().toUpperCase(Locale.ROOT)));
			this.delayMillis = body.path("delayMillis").asLong(0);
		}
		Json.answer(exchange, 200, Map.of("mode", this.mode.name()));
	}

	private void answerAppend(HttpExchange exchange, String stream) throws IOException {
		String body = Json.body(exchange);
		long offset = append(stream, body);
		if (this.mode == LogMode.APPEND_TWICE) {
			append(stream, body);
		}
		if (this.mode == LogMode.LOSE_REPLIES) {
			return;
		}
		Json.answer(exchange, 200, Map.of("offset", offset));
	}

	private void answerRead(HttpExchange exchange, String stream) throws IOException {
		long from = Json.query(exchange, "from", 1);
		int max = (int) Json.query(exchange, "max", 100);
		long waitMillis = Json.query(exchange, "waitMillis", 0);
		Json.answer(exchange, 200, read(stream, from, max, waitMillis));
	}

	/**
	 * Append a record, whatever the mode is.
	 * @param stream the name of the stream; it is created on first use
	 * @param body the record
	 * @return the offset of the record, from 1
	 */
	public synchronized long append(String stream, String body) {
		this.appends++;
		Stream target = this.streams.computeIfAbsent(stream, (name) -> new Stream());
		target.bodies.add(body);
		notifyAll();
		return target.headOffset();
	}

	/**
	 * Read records. The mode {@link LogMode#DOWN} ends the wait but not the reading.
	 * @param stream the name of the stream; it is created on first use
	 * @param from the first offset to read
	 * @param max the maximum number of records to return
	 * @param waitMillis how long to wait for a first record, in milliseconds
	 * @return the records; none if the wait has ended without one
	 */
	public synchronized LogPage read(String stream, long from, int max, long waitMillis) {
		long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
		Stream source = this.streams.computeIfAbsent(stream, (name) -> new Stream());
		while (source.headOffset() < from && this.mode != LogMode.DOWN) {
			long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
			if (remainingMillis <= 0) {
				break;
			}
			try {
				wait(remainingMillis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
		}
		return source.page(from, max);
	}

	/**
	 * Drop the records before an offset.
	 * @param stream the name of the stream
	 * @param firstOffset the first offset to keep
	 */
	public synchronized void truncate(String stream, long firstOffset) {
		Stream target = this.streams.computeIfAbsent(stream, (name) -> new Stream());
		while (target.firstOffset < firstOffset && !target.bodies.isEmpty()) {
			target.bodies.remove(0);
			target.firstOffset++;
		}
	}

	/**
	 * Set how calls over HTTP are treated from now on.
	 * @param newMode the mode
	 */
	public synchronized void setMode(LogMode newMode) {
		this.mode = newMode;
		notifyAll();
	}

	/**
	 * Set the delay before each call over HTTP is handled.
	 * @param newDelayMillis the delay in milliseconds
	 */
	public void setDelayMillis(long newDelayMillis) {
		this.delayMillis = newDelayMillis;
	}

	/**
	 * Return the number of records appended since the start.
	 * @return the total over all streams
	 */
	public synchronized long appends() {
		return this.appends;
	}

	/**
	 * Return the address on which the log listens.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Result of a read.
	 *
	 * @param firstOffset the first offset that the log still holds
	 * @param headOffset the offset of the last record; 0 if there is none
	 * @param records the records that were read, in order
	 */
	public record LogPage(long firstOffset, long headOffset, List<LogRecord> records) {
	}

	/**
	 * A record of a stream.
	 *
	 * @param offset the offset of the record, from 1
	 * @param body the content of the record
	 */
	public record LogRecord(long offset, String body) {
	}

	private static final class Stream {

		private final List<String> bodies = new ArrayList<>();

		private long firstOffset = 1;

		private long headOffset() {
			return this.firstOffset + this.bodies.size() - 1;
		}

		private LogPage page(long from, int max) {
			List<LogRecord> page = new ArrayList<>();
			long start = Math.max(from, this.firstOffset);
			for (long offset = start; offset <= headOffset() && page.size() < max; offset++) {
				page.add(new LogRecord(offset, this.bodies.get((int) (offset - this.firstOffset))));
			}
			return new LogPage(this.firstOffset, headOffset(), page);
		}

	}

}
