package io.flamingogap.daemon.backends;

/**
 * One event of a model engine's stream.
 *
 * @param requestId the request that it belongs to
 * @param position the position of its token
 * @param version the version that made it
 * @param data the JSON chunk
 * @param last whether it ends the answer
 */
public record TokenEvent(String requestId, long position, String version, String data, boolean last) {
}
