package io.flamingogap.gateway.log;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records as JSON lines. {@link #publish} never blocks, because another thread
 * writes the lines; {@link #flush} and {@link #close} write in the calling thread. If the
 * output is slow, lines are dropped and their number is logged, in a line without the
 * common fields.
 */
public final class JsonLogHandler extends Handler {

	/**
	 * The number of lines that may wait for the writer; further lines are dropped. Enough
	 * for the lines that a busy node logs in a few seconds.
	 */
	private static final int MAX_PENDING_LINES = 2_048;

	/**
	 * How long the writer collects lines before it writes them, to wake up less often.
	 */
	private static final long BATCH_INTERVAL_MILLIS = 100;

	private final BlockingQueue<String> pendingLines = new ArrayBlockingQueue<>(MAX_PENDING_LINES);

	private final AtomicLong droppedLines = new AtomicLong();

	private final PrintStream out;

	private final String node;

	private JsonLogHandler(PrintStream out, String node) {
		this.out = out;
		this.node = node;
	}

	/**
	 * Replace the handlers of the root logger by a new one, and start its thread.
	 * @param out the stream to write to
	 * @param node the name of the node, which is added to each line; not escaped
	 * @param level the lowest level that is logged
	 * @return the new handler
	 */
	public static JsonLogHandler install(PrintStream out, String node, Level level) {
		JsonLogHandler handler = new JsonLogHandler(out, node);
		LogManager.getLogManager().reset();
		Logger root = Logger.getLogger("");
		root.setLevel(level);
		root.addHandler(handler);
		Thread writer = new Thread(handler::writeLines, "log-writer");
		writer.setDaemon(true);
		writer.start();
		return handler;
	}

	@Override
	public void publish(LogRecord entry) {
		if (isLoggable(entry) && !this.pendingLines.offer(format(entry))) {
			this.droppedLines.incrementAndGet();
		}
	}

	private String format(LogRecord entry) {
		String message = entry.getMessage();
		// Messages of LogLine are members of a JSON object; those of libraries are text.
		String fields = message.startsWith("\"event\":") ? message
				: LogLine.of("message").with("text", message).toString();
		StringBuilder line = new StringBuilder(fields.length() + 96);
		line.append("{\"atMillis\":").append(entry.getMillis());
		line.append(",\"level\":\"").append(entry.getLevel()).append("\",\"node\":\"").append(this.node).append("\",");
		line.append(fields);
		if (entry.getThrown() != null) {
			StringWriter trace = new StringWriter();
			entry.getThrown().printStackTrace(new PrintWriter(trace));
			String cause = LogLine.of("thrown").with("cause", trace.toString()).toString();
			// Skips the event, which the line already has.
			line.append(cause, cause.indexOf(','), cause.length());
		}
		return line.append("}\n").toString();
	}

	private void writeLines() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				StringBuilder batch = new StringBuilder(this.pendingLines.take());
				TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MILLIS);
				drainPendingLinesTo(batch);
				write(batch);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void drainPendingLinesTo(StringBuilder batch) {
		for (String line = this.pendingLines.poll(); line != null; line = this.pendingLines.poll()) {
			batch.append(line);
		}
		long droppedCount = this.droppedLines.getAndSet(0);
		if (droppedCount > 0) {
			batch.append("{\"event\":\"log lines dropped\",\"count\":").append(droppedCount).append("}\n");
		}
	}

	private void write(StringBuilder batch) {
		byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
		this.out.write(bytes, 0, bytes.length);
		this.out.flush();
	}

	@Override
	public void flush() {
		StringBuilder batch = new StringBuilder();
		drainPendingLinesTo(batch);
		if (!batch.isEmpty()) {
			write(batch);
		}
	}

	@Override
	public void close() {
		flush();
	}

}
