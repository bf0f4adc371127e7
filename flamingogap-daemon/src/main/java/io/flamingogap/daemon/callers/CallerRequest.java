package io.flamingogap.daemon.callers;

import java.io.IOException;

import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.manifest.Account;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.settings.Settings;

/**
 * A caller's request, read whole.
 *
 * @param account the account
 * @param body the body
 * @param deadlineMillis when the caller stops waiting, on this node's clock
 */
record CallerRequest(Account account, byte[] body, long deadlineMillis) {

	/** How long the caller still waits, in milliseconds. */
	static final String DEADLINE_HEADER = "X-Deadline-Millis";

	static Either<Failure, CallerRequest> read(HttpExchange exchange, Account account, Settings.Callers settings,
			long nowMillis) throws IOException {
		Either<Failure, Long> waitMillis = waitMillis(exchange, settings);
		if (waitMillis.isLeft()) {
			return Either.left(waitMillis.getLeft());
		}
		return Exchanges.readBody(exchange, settings.maxBodyBytes())
			.map((body) -> new CallerRequest(account, body, nowMillis + waitMillis.get()));
	}

	private static Either<Failure, Long> waitMillis(HttpExchange exchange, Settings.Callers settings) {
		String text = Exchanges.header(exchange, DEADLINE_HEADER).orElse(null);
		if (text == null) {
			return Either.right(settings.defaultDeadlineMillis());
		}
		try {
			long asked = Long.parseLong(text);
			if (asked > 0) {
				return Either.right(Math.min(asked, settings.maxDeadlineMillis()));
			}
		}
		catch (NumberFormatException ex) {
			return Either.left(badDeadline(text));
		}
		return Either.left(badDeadline(text));
	}

	private static Failure badDeadline(String text) {
		return Exchanges.malformed(DEADLINE_HEADER + " must be a positive whole number but was '" + text + "'");
	}

}
