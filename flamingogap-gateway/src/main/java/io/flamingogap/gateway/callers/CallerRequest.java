package io.flamingogap.gateway.callers;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import io.flamingogap.core.servers.PromptMetadata;

/**
 * A whole request as a caller sent it.
 *
 * @param attemptId identifies the attempt; a caller that tries again uses another one
 * @param method the method
 * @param uri path and query, unchanged
 * @param host the host that the caller names, without a port
 * @param key the key that the caller presents, if any
 * @param budgetMillis how long the caller waits, if it says so
 * @param prompt the size of the prompt; {@link PromptMetadata#NONE} for plain requests
 * @param statesTokens whether the caller states how many tokens the request uses
 * @param headers all headers, as they came
 * @param body the body; owned by whoever holds the request
 */
public record CallerRequest(String attemptId, HttpMethod method, String uri, String host, Optional<String> key,
		OptionalLong budgetMillis, PromptMetadata prompt, boolean statesTokens, HttpHeaders headers, ByteBuf body) {

	public CallerRequest {
		Objects.requireNonNull(attemptId, "attemptId must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(budgetMillis, "budgetMillis must not be null");
		Objects.requireNonNull(prompt, "prompt must not be null");
	}

	/**
	 * Return the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.uri.indexOf('?');
		return (query >= 0) ? this.uri.substring(0, query) : this.uri;
	}

	/**
	 * Return the tokens that the request states.
	 * @return the tokens, negative if it states none
	 */
	public long statedTokens() {
		return this.statesTokens ? this.prompt.maxTotalTokens() : -1;
	}

}
