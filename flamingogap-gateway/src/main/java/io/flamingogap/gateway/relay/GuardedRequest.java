package io.flamingogap.gateway.relay;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.quarantine.RequestFingerprint;
import io.flamingogap.core.servers.PromptPart;
import io.flamingogap.gateway.callers.CallerRequest;

/**
 * A request with what it may be suspected for if a server crashes: the shared parts of
 * its prompt, and its content as a whole.
 */
public final class GuardedRequest {

	private final String service;

	private final String account;

	private final CallerRequest request;

	private @Nullable String fingerprint;

	/**
	 * Create a guarded request.
	 * @param service the service that the request is for
	 * @param account the name of the client account; empty if it has none
	 * @param request the request, whose body must not be released while this is used
	 */
	public GuardedRequest(String service, String account, CallerRequest request) {
		this.service = service;
		this.account = account;
		this.request = request;
	}

	/**
	 * Return the service that the request is for.
	 * @return the name of the service
	 */
	public String service() {
		return this.service;
	}

	/**
	 * Return the parts of the prompt that other requests may share.
	 * @return the keys of the parts
	 */
	public List<String> sharedParts() {
		return this.request.prompt().sharedPrefix().stream().map(PromptPart::key).toList();
	}

	/**
	 * Return the fingerprint of the request, which is computed at the first call.
	 * @return the fingerprint
	 */
	public String fingerprint() {
		String known = this.fingerprint;
		if (known == null) {
			List<String> parts = this.request.prompt().parts().stream().map(PromptPart::id).toList();
			known = RequestFingerprint.of(this.account, this.request.method().name(), this.request.uri(), parts,
					this.request.body().nioBuffer());
			this.fingerprint = known;
		}
		return known;
	}

	/**
	 * Return all that the request may be suspected for.
	 * @return the ids of the shared parts and the fingerprint
	 */
	public List<String> suspects() {
		List<String> suspects = new ArrayList<>(sharedParts());
		suspects.add(fingerprint());
		return suspects;
	}

}
