package io.flamingogap.core.error;

/**
 * Problem types of the public HTTP interface, each with its status and title. Their
 * identifiers never change.
 */
public enum ProblemType {

	/** The request can't be parsed. */
	MALFORMED("malformed", 400, "The request can't be read"),
	/** The request needs an idempotency key with a valid prefix. */
	KEY_REQUIRED("key-required", 400, "An idempotency key with a prefix from GET /v1/entry is required"),
	/** The bearer key of the request isn't known. */
	UNAUTHENTICATED("unauthenticated", 401, "The bearer key isn't known"),
	/** The bearer key doesn't permit the request. */
	FORBIDDEN("forbidden", 403, "The bearer key doesn't allow this"),
	/** No resource exists under the path. */
	NOT_FOUND("not-found", 404, "Nothing is served under this path"),
	/** The path doesn't support the method. */
	METHOD_NOT_ALLOWED("method-not-allowed", 405, "The path doesn't support this method"),
	/** The request head exceeds its size limit. */
	HEAD_TOO_LARGE("head-too-large", 431, "The head of the request is larger than its limit"),
	/** A concurrent change of the configuration was accepted first. */
	CONFLICT("conflict", 409, "Another change was accepted first"),
	/**
	 * The idempotency key can't start a request: it is too old, not newer than a removed
	 * key, or was issued in the future.
	 */
	KEY_EXPIRED("key-expired", 409, "The idempotency key is too old"),
	/**
	 * The idempotency key was used for another method, path or body, or by another client
	 * account.
	 */
	KEY_REUSED("key-reused", 422, "The idempotency key was used for another request"),
	/** The input exceeds its size limit. */
	TOO_LARGE("too-large", 413, "The input is larger than its limit"),
	/** The submitted document is invalid. */
	INVALID("invalid", 422, "The document has faults"),
	/** The client account has too many open requests or has used up its quota. */
	TOO_MANY_REQUESTS("too-many-requests", 429, "The account has too many open requests"),
	/** The request may have been executed; its outcome isn't known. */
	OUTCOME_UNKNOWN("outcome-unknown", 502, "Whether the request ran isn't known"),
	/** A backend server failed to answer the request. */
	BACKEND_FAILED("backend-failed", 502, "A backend server failed"),
	/** No backend server is available for the request. */
	NO_BACKEND("no-backend", 503, "No backend server can take the request"),
	/** The content of the request crashes backend servers. */
	QUARANTINED("quarantined", 503, "Requests with this content are stopped for some time"),
	/** The entry node has too many open requests. */
	OVERLOADED("overloaded", 503, "The entry node can't take more work"),
	/** The platform log can't be reached. */
	LOG_UNAVAILABLE("log-unavailable", 503, "The platform log can't be reached"),
	/** The caller's deadline passed before the request was answered. */
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
	 * Return the identifier for the {@code type} member of a problem document.
	 * @return a relative URI that never changes
	 */
	public String uri() {
		return "/problems/" + this.slug;
	}

	/**
	 * Return the HTTP status code of responses with this type.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Return a human-readable summary.
	 * @return the title, one sentence without a full stop
	 */
	public String title() {
		return this.title;
	}

}
