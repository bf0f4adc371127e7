package io.flamingogap.daemon.backends;

/**
 * An event of a model engine's token stream.
 *
 * @param requestId the id of the request that the event answers
 * @param position the position of its token in the answer, starting at 0
 * @param version the version of the service that generated the token
 * @param data the JSON chunk that contains the token
 * @param last whether this is the last event of the answer
 */
public record TokenEvent(String requestId, long position, String version, String data, boolean last) {
}
