package io.flamingogap.daemon.platformlog;

/**
 * State transition of a keyed request, as recorded in the platform log.
 *
 * @param key the idempotency key
 * @param account the account that may read the state
 * @param state the name of the new state
 * @param status the HTTP status of the answer; 0 if there is none
 */
public record RequestTransition(String key, String account, String state, int status) {
}
