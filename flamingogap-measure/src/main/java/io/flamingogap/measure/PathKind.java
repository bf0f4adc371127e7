package io.flamingogap.measure;

import java.net.URI;
import java.net.http.HttpRequest;

import io.flamingogap.testkit.metadata.UsersPlatform;

/**
 * Request paths that are measured with the same load.
 */
enum PathKind {

	/** The daemon, on the HTTP server and client of the JDK. */
	DAEMON("daemon", "/v1/chat/completions", "/lots/17", "/services/desk/lots/17", "data: {") {
		@Override
		HttpRequest.Builder request(String uri, String id) {
			return HttpRequest.newBuilder(URI.create(uri))
				.header("Authorization", "Bearer local-account-key")
				.header("X-Request-Id", id);
		}
	},

	/** The gateway, on Netty, with the adapter to the users' platform. */
	GATEWAY("gateway", "/stream/lots", "/look/17", "/look/17", "data: ") {
		@Override
		HttpRequest.Builder request(String uri, String id) {
			HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(uri));
			UsersPlatform.callerHeaders(id).forEach(request::header);
			return request;
		}
	};

	private final String title;

	private final String streamPath;

	private final String directLookupPath;

	private final String lookupPath;

	private final String eventPrefix;

	PathKind(String title, String streamPath, String directLookupPath, String lookupPath, String eventPrefix) {
		this.title = title;
		this.streamPath = streamPath;
		this.directLookupPath = directLookupPath;
		this.lookupPath = lookupPath;
		this.eventPrefix = eventPrefix;
	}

	/**
	 * Create a request with the headers that its receiver requires of a caller.
	 * @param uri the target
	 * @param id the id of the request
	 * @return a builder without a method and body
	 */
	abstract HttpRequest.Builder request(String uri, String id);

	String title() {
		return this.title;
	}

	String streamUri(String address) {
		return "http://" + address + this.streamPath;
	}

	String directLookupUri(String address) {
		return "http://" + address + this.directLookupPath;
	}

	String lookupUri(String address) {
		return "http://" + address + this.lookupPath;
	}

	boolean isEvent(String line) {
		return line.startsWith(this.eventPrefix);
	}

}
