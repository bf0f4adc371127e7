package io.flamingogap.testkit.metadata;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Fake of a users' backend server that writes its answers as raw bytes. Paths that
 * contain {@code stream} are answered by an event stream. It keeps the requests that it
 * received and counts the executions of each attempt.
 */
public final class FakeBackendServer implements AutoCloseable {

	private static final int BACKLOG = 64;

	private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final long HANG_MILLIS = 60_000;

	private static final int DEFAULT_EVENT_COUNT = 3;

	private static final int ENDLESS_CHUNK_BYTES = 16_384;

	private static final long TRICKLE_MILLIS = 200;

	private static final long LATE_COPY_MILLIS = 200;

	/** The bytes of an event that is cut. */
	private static final int CUT_EVENT_LENGTH = 7;

	/** How long the server lives on after the head of an answer that crashes it. */
	private static final long CRASH_MILLIS = 30;

	private final AtomicLong endlessBytes = new AtomicLong();

	private final ServerSocket listener;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final List<Request> requests = new CopyOnWriteArrayList<>();

	private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private volatile ServerBehaviour behaviour = ServerBehaviour.ANSWER;

	private volatile int events = DEFAULT_EVENT_COUNT;

	private volatile String statusLine = "HTTP/1.1 200 OK";

	private volatile String extraHeaders = "";

	private volatile String crashPart = "";

	private volatile String crashBody = "";

	private volatile String resetPart = "";

	private volatile int cutAt;

	private volatile String body = "done";

	private volatile String framedBody = "";

	private final AtomicInteger answeredRequests = new AtomicInteger();

	private volatile CountDownLatch answerGate = new CountDownLatch(0);

	private volatile long firstEventMillis;

	private volatile long eventMillis;

	/**
	 * Start a server on a free port.
	 */
	public FakeBackendServer() {
		this(0);
	}

	/**
	 * Start a server.
	 * @param port the port; 0 for any free one
	 */
	public FakeBackendServer(int port) {
		try {
			this.listener = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.executor.execute(this::accept);
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				this.executor.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			boolean first = true;
			for (Request head = Request.readHead(in); head != null; head = Request.readHead(in)) {
				if (this.behaviour == ServerBehaviour.EARLY_UNFRAMED_RESET) {
					answerUnframed(head, head.header("attempt-id"), socket.getOutputStream());
					return;
				}
				Request request = head.readBody(in);
				this.requests.add(request);
				this.arrivalNanos.add(System.nanoTime());
				if (!first && this.behaviour == ServerBehaviour.REPEATED_REFUSAL) {
					write(socket.getOutputStream(), refusal());
				}
				if (!answer(request, socket.getOutputStream())) {
					return;
				}
				this.answeredRequests.incrementAndGet();
				first = false;
			}
		}
		catch (ResetException ex) {
			reset(socket);
		}
		catch (IOException ex) {
			// The client closed the connection, which is no error here.
		}
		finally {
			this.open.remove(socket);
			closeQuietly(socket);
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The connection is of no use any more.
		}
	}

	private boolean answer(Request request, OutputStream out) throws IOException {
		String attempt = request.header("attempt-id");
		if (crashes(request)) {
			write(out, head(attempt) + EVENT_STREAM);
			sleep(CRASH_MILLIS);
			close();
			return false;
		}
		if (!this.resetPart.isEmpty() && request.header("prompt-prefix").contains(this.resetPart)) {
			return false;
		}
		awaitGate();
		switch (this.behaviour) {
			case REJECT -> {
				write(out, refusal());
				return true;
			}
			case MISDIRECT -> {
				write(out, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\n" + this.extraHeaders
						+ "Content-Length: 0\r\n\r\n");
				return true;
			}
			case GARBAGE -> {
				write(out, "no answer at all\r\n\r\n");
				return false;
			}
			case ENDLESS_HEAD -> writeWithoutEnd(out, "x".repeat(ENDLESS_CHUNK_BYTES), 0);
			case TRICKLED_HEAD -> writeWithoutEnd(out, "H", TRICKLE_MILLIS);
			default -> this.runs.merge(attempt, 1, Integer::sum);
		}
		return answerExecuted(request, attempt, out);
	}

	private boolean crashes(Request request) {
		return (!this.crashPart.isEmpty() && request.header("prompt-prefix").contains(this.crashPart))
				|| (!this.crashBody.isEmpty() && request.body().equals(this.crashBody));
	}

	private void awaitGate() {
		try {
			this.answerGate.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean answerExecuted(Request request, String attempt, OutputStream out) throws IOException {
		switch (this.behaviour) {
			case RUN_AND_CLOSE -> {
				return false;
			}
			case HANG -> {
				sleep(HANG_MILLIS);
				return false;
			}
			case FAIL ->
				write(out, head("HTTP/1.1 500 Internal Server Error", attempt) + "Content-Length: 4\r\n\r\nfail");
			case FOREIGN_FIRST -> {
				write(out, head("another-attempt") + "Content-Length: 5\r\n\r\nwrong");
				write(out, completeAnswer(attempt));
			}
			case ANSWER_TWICE -> write(out, completeAnswer(attempt) + completeAnswer(attempt));
			case SURPLUS_BYTES -> write(out, completeAnswer(attempt) + "xyz");
			case LATE_COPY -> {
				write(out, completeAnswer(attempt));
				sleep(LATE_COPY_MILLIS);
				write(out, completeAnswer(attempt));
			}
			case ENDLESS_BODY -> {
				write(out, head(attempt) + "Transfer-Encoding: chunked\r\n\r\n");
				writeWithoutEnd(out,
						Integer.toHexString(ENDLESS_CHUNK_BYTES) + "\r\n" + "x".repeat(ENDLESS_CHUNK_BYTES) + "\r\n",
						0);
			}
			case UNFRAMED, UNFRAMED_BREAK_OFF, UNFRAMED_RESET -> {
				return answerUnframed(request, attempt, out);
			}
			case CHUNKS_END_INSIDE_EVENT -> {
				String events = event(1) + event(2).substring(0, CUT_EVENT_LENGTH);
				write(out, head(attempt) + EVENT_STREAM + Integer.toHexString(events.length()) + "\r\n" + events
						+ "\r\n0\r\n\r\n");
			}
			case CUT_HEAD -> {
				String text = completeAnswer(attempt);
				write(out, text.substring(0, Math.min(this.cutAt, text.indexOf("\r\n\r\n") + 3)));
				return false;
			}
			case UNSIGNED -> write(out, completeAnswer(attempt).replaceAll("Server-Seal: [^\r]*\r\n", ""));
			default -> {
				return request.uri().contains("stream") ? answerWithEvents(request, attempt, out)
						: answerWithBody(attempt, out);
			}
		}
		return true;
	}

	private boolean answerUnframed(Request request, String attempt, OutputStream out) throws IOException {
		boolean stream = request.uri().contains("stream");
		write(out, head(attempt) + (stream ? "Content-Type: text/event-stream\r\n\r\n" : "\r\n"));
		switch (this.behaviour) {
			case UNFRAMED -> write(out, stream ? event(1) + event(2) + event(3) : "done");
			case UNFRAMED_BREAK_OFF -> write(out, stream ? event(1) + event(2).substring(0, CUT_EVENT_LENGTH) : "done");
			default -> {
				write(out, stream ? event(1) + event(2) : "do");
				sleep(CRASH_MILLIS);
				throw new ResetException();
			}
		}
		return false;
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: piece " + id + "\n\n";
	}

	private boolean answerWithBody(String attempt, OutputStream out) throws IOException {
		String text = completeAnswer(attempt);
		if (this.behaviour == ServerBehaviour.BREAK_OFF) {
			write(out, text.substring(0, text.length() - 1));
			return false;
		}
		write(out, text);
		return true;
	}

	private boolean answerWithEvents(Request request, String attempt, OutputStream out) throws IOException {
		String last = request.header("last-event-id");
		int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
		write(out, head(attempt) + EVENT_STREAM);
		sleep(this.firstEventMillis);
		for (int id = from; id <= this.events; id++) {
			String event = event(id);
			if (this.behaviour == ServerBehaviour.BREAK_OFF && id == 2) {
				write(out, Integer.toHexString(event.length()) + "\r\n" + event.substring(0, CUT_EVENT_LENGTH));
				return false;
			}
			write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
			sleep(this.eventMillis);
		}
		write(out, "0\r\n\r\n");
		return true;
	}

	private String refusal() {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + this.extraHeaders + "Content-Length: 0\r\n\r\n";
	}

	private String head(String attempt) {
		return head(this.statusLine, attempt);
	}

	private String head(String firstLine, String attempt) {
		return firstLine + "\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: seal-" + attempt
				+ "\r\nServer-Load: 1,0,8\r\n" + this.extraHeaders;
	}

	private String completeAnswer(String attempt) {
		return head(attempt) + (this.framedBody.isEmpty()
				? "Content-Length: " + this.body.length() + "\r\n\r\n" + this.body : this.framedBody);
	}

	private void writeWithoutEnd(OutputStream out, String text, long pauseMillis) throws IOException {
		while (!this.listener.isClosed()) {
			write(out, text);
			this.endlessBytes.addAndGet(text.length());
			sleep(pauseMillis);
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Set how requests are treated from now on.
	 * @param newBehaviour the behaviour
	 */
	public void setBehaviour(ServerBehaviour newBehaviour) {
		this.behaviour = newBehaviour;
	}

	/**
	 * Set the first line of the answers to executed requests, other than
	 * {@link ServerBehaviour#FAIL}.
	 * @param line the line, without its end
	 */
	public void setStatusLine(String line) {
		this.statusLine = line;
	}

	/**
	 * Set headers that every answer has from now on.
	 * @param lines the lines, each with its line end; empty for none
	 */
	public void setExtraHeaders(String lines) {
		this.extraHeaders = lines;
	}

	/**
	 * Crash when the server begins to answer a request with this prompt part: it sends a
	 * head, ends all connections and takes no new ones.
	 * @param part the id of the part; empty for none
	 */
	public void setCrashPart(String part) {
		this.crashPart = part;
	}

	/**
	 * Crash like for {@link #setCrashPart} when the server begins to answer a request
	 * with this body.
	 * @param requestBody the body; empty for none
	 */
	public void setCrashBody(String requestBody) {
		this.crashBody = requestBody;
	}

	/**
	 * Close the connection of each request with this prompt part without an answer.
	 * @param part the id of the part; empty for none
	 */
	public void setResetPart(String part) {
		this.resetPart = part;
	}

	/**
	 * Hold back the answers to requests that arrive from now on.
	 * @param gate the answers are sent once it has been counted down
	 */
	public void setAnswerGate(CountDownLatch gate) {
		this.answerGate = gate;
	}

	/**
	 * Return how many requests were answered on connections that stayed open.
	 * @return the number of answers whose bytes have all been written
	 */
	public int answeredRequests() {
		return this.answeredRequests.get();
	}

	/**
	 * Set where {@link ServerBehaviour#CUT_HEAD} cuts.
	 * @param length the number of bytes of the head that are sent; cut to all but the
	 * last byte
	 */
	public void setCutAt(int length) {
		this.cutAt = length;
	}

	/**
	 * Set the body of the answers to plain requests.
	 * @param newBody the body in ASCII
	 */
	public void setBody(String newBody) {
		this.body = newBody;
	}

	/**
	 * Set what the answers to plain requests have after their other headers, in place of
	 * a length and the body.
	 * @param bytes the headers that frame the body, the empty line and the framed body
	 */
	public void setFramedBody(String bytes) {
		this.framedBody = bytes;
	}

	/**
	 * Return whether the server was closed or has crashed.
	 * @return {@code true} if it takes no connections
	 */
	public boolean isClosed() {
		return this.listener.isClosed();
	}

	/**
	 * Set the length of streams and the time to their first event.
	 * @param number the number of events in a stream
	 * @param firstMillis the time from the response head to the first event, in
	 * milliseconds
	 */
	public void setEvents(int number, long firstMillis) {
		this.events = number;
		this.firstEventMillis = firstMillis;
	}

	/**
	 * Set the time between the events of a stream.
	 * @param millis the time in milliseconds
	 */
	public void setEventMillis(long millis) {
		this.eventMillis = millis;
	}

	/**
	 * Return the address on which the server listens.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Return how often each attempt was executed.
	 * @return the number of executions by attempt id
	 */
	public Map<String, Integer> runs() {
		return Map.copyOf(this.runs);
	}

	/**
	 * Return the requests that were read completely.
	 * @return the requests in the order of their arrival
	 */
	public List<Request> requests() {
		return List.copyOf(this.requests);
	}

	/**
	 * Return when the requests arrived that were read completely.
	 * @return the times of {@link System#nanoTime()}, in any order
	 */
	public List<Long> arrivalNanos() {
		return List.copyOf(this.arrivalNanos);
	}

	/**
	 * Return the greatest number of requests that have arrived within a second.
	 * @return the number, over all seconds since the start
	 */
	public int mostRequestsWithinASecond() {
		List<Long> arrivals = this.arrivalNanos.stream().sorted().toList();
		int most = 0;
		int first = 0;
		for (int last = 0; last < arrivals.size(); last++) {
			while (arrivals.get(last) - arrivals.get(first) >= TimeUnit.SECONDS.toNanos(1)) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	/**
	 * Return the number of bytes that were sent without end.
	 * @return the number since the start, over all connections
	 */
	public long endlessBytes() {
		return this.endlessBytes.get();
	}

	/**
	 * Return the number of connections that are open now.
	 * @return the number
	 */
	public int connections() {
		return this.open.size();
	}

	@Override
	public void close() {
		try {
			this.listener.close();
			for (Socket socket : this.open) {
				socket.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.executor.shutdownNow();
	}

	/**
	 * A request as the server received it.
	 *
	 * @param method the HTTP method
	 * @param uri the path and the query
	 * @param headers the header values by name in lower case
	 * @param body the body, decoded as UTF-8
	 */
	public record Request(String method, String uri, Map<String, String> headers, String body) {

		/**
		 * Return a header.
		 * @param name the name in lower case
		 * @return the value; empty if the header is absent
		 */
		public String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		static Request read(InputStream in) throws IOException {
			Request head = readHead(in);
			return (head != null) ? head.readBody(in) : null;
		}

		private static Request readHead(InputStream in) throws IOException {
			String line = readLine(in);
			if (line.isEmpty()) {
				return null;
			}
			String[] start = line.split(" ");
			Map<String, String> headers = new TreeMap<>();
			for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
				int colon = header.indexOf(':');
				headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
			}
			return new Request(start[0], start[1], headers, "");
		}

		private Request readBody(InputStream in) throws IOException {
			int length = Integer.parseInt(this.headers.getOrDefault("content-length", "0"));
			String received = new String(in.readNBytes(length), StandardCharsets.UTF_8);
			return new Request(this.method, this.uri, this.headers, received);
		}

		private static String readLine(InputStream in) throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
				if (next != '\r') {
					line.write(next);
				}
			}
			return line.toString(StandardCharsets.ISO_8859_1);
		}

	}

	/**
	 * Thrown to reset a connection.
	 */
	private static final class ResetException extends IOException {

		private static final long serialVersionUID = 1L;

	}

}
