package io.flamingogap.core.error;

/**
 * The stable problem types of the public interface, each with its HTTP status.
 */
public enum ProblemType {

	/** The request can't be read. */
	MALFORMED("malformed", 400, "The request can't be read"),
	/** The call needs a valid idempotency key. */
	KEY_REQUIRED("key-required", 400, "An idempotency key with a prefix from GET /v1/entry is required"),
	/** The caller isn't known. */
	UNAUTHENTICATED("unauthenticated", 401, "The bearer key isn't known"),
	/** The caller may not do this. */
	FORBIDDEN("forbidden", 403, "The bearer key doesn't allow this"),
	/** Nothing is served here. */
	NOT_FOUND("not-found", 404, "Nothing is served under this path"),
	/** The method isn't supported under this path. */
	METHOD_NOT_ALLOWED("method-not-allowed", 405, "The path doesn't support this method"),
	/** The head of the request is larger than its limit. */
	HEAD_TOO_LARGE("head-too-large", 431, "The head of the request is larger than its limit"),
	/** Another change was accepted first. */
	CONFLICT("conflict", 409, "Another change was accepted first"),
	/** The key is too old to be used for the first time. */
	KEY_EXPIRED("key-expired", 409, "The idempotency key is too old"),
	/** The key was used with another body. */
	KEY_REUSED("key-reused", 422, "The idempotency key was used for another request"),
	/** The input is larger than its limit. */
	TOO_LARGE("too-large", 413, "The input is larger than its limit"),
	/** A document has faults. */
	INVALID("invalid", 422, "The document has faults"),
	/** The account has too much work open. */
	TOO_MANY_REQUESTS("too-many-requests", 429, "The account has too many open requests"),
	/** Whether the request ran isn't known. */
	OUTCOME_UNKNOWN("outcome-unknown", 502, "Whether the request ran isn't known"),
	/** A backend server failed. */
	BACKEND_FAILED("backend-failed", 502, "A backend server failed"),
	/** No backend server can take the request. */
	NO_BACKEND("no-backend", 503, "No backend server can take the request"),
	/** The node has too much work open. */
	OVERLOADED("overloaded", 503, "The entry node can't take more work"),
	/** The platform log can't be reached. */
	LOG_UNAVAILABLE("log-unavailable", 503, "The platform log can't be reached"),
	/** The caller's deadline passed. */
	DEADLINE_EXCEEDED("deadline-exceeded", 504, "The deadline has passed");

	private final String slug;

	private final int status;

	private final String title;

	ProblemType(String slug, int status, String title) {
		this.slug = slug;
		this.status = status;
		this.title = title;
	}

	/**
	 * Return the stable type identifier.
	 * @return a relative URI
	 */
	public String uri() {
		return "/problems/" + this.slug;
	}

	/**
	 * Return the HTTP status that goes with the type.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Return the summary shown to people.
	 * @return the title
	 */
	public String title() {
		return this.title;
	}

}
