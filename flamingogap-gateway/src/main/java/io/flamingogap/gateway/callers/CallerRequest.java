package io.flamingogap.gateway.callers;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import io.flamingogap.core.servers.PromptMetadata;

/**
 * A complete request of a caller.
 *
 * @param attemptId identifies the attempt; a caller that retries uses another id
 * @param method the method
 * @param uri path and query, unchanged
 * @param host the host that the request names, without a port
 * @param accountKey the secret key of the caller's client account; empty if the caller
 * sent none
 * @param budgetMillis how long the caller waits for the response, in milliseconds; empty
 * if the caller doesn't say
 * @param prompt the size of the prompt; {@link PromptMetadata#NONE} for plain requests
 * @param hasStatedTokens whether the caller states the sizes in {@code prompt}
 * @param headers all headers as received
 * @param body the body; the owner of the request releases it
 */
public record CallerRequest(String attemptId, HttpMethod method, String uri, String host, Optional<String> accountKey,
		OptionalLong budgetMillis, PromptMetadata prompt, boolean hasStatedTokens, HttpHeaders headers, ByteBuf body) {

	public CallerRequest {
		Objects.requireNonNull(attemptId, "attemptId must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(accountKey, "accountKey must not be null");
		Objects.requireNonNull(budgetMillis, "budgetMillis must not be null");
		Objects.requireNonNull(prompt, "prompt must not be null");
	}

	/**
	 * Return the path without the query.
	 * @return the part of the URI before the first question mark
	 */
	public String path() {
		int query = this.uri.indexOf('?');
		return (query >= 0) ? this.uri.substring(0, query) : this.uri;
	}

	/**
	 * Return the maximum number of tokens that the request uses, as the caller states it.
	 * @return the prompt tokens plus the maximum number of output tokens; -1 if the
	 * caller states none
	 */
	public long statedTotalTokens() {
		return this.hasStatedTokens ? this.prompt.maxTotalTokens() : -1;
	}

}
