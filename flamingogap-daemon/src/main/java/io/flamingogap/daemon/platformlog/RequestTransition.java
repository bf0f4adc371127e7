package io.flamingogap.daemon.platformlog;

/**
 * A transition of a keyed request, as kept in the platform log.
 *
 * @param key the idempotency key
 * @param account the account that may ask for it
 * @param state the name of the new state
 * @param status the HTTP status of the answer; 0 if there is none
 */
public record RequestTransition(String key, String account, String state, int status) {
}
