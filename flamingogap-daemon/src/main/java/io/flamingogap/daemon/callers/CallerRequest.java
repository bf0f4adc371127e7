package io.flamingogap.daemon.callers;

import java.io.IOException;

import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.manifest.Account;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.settings.Settings;

/**
 * An authenticated request of a caller with its complete body.
 *
 * @param account the account of the caller
 * @param body the body; may be empty
 * @param deadlineMillis the caller's deadline on this node's clock, in milliseconds since
 * 1970 UTC
 */
record CallerRequest(Account account, byte[] body, long deadlineMillis) {

	/** The header with the time until the caller's deadline, in milliseconds. */
	static final String DEADLINE_HEADER = "X-Deadline-Millis";

	static Either<Failure, CallerRequest> read(HttpExchange exchange, Account account, Settings.Callers settings,
			long nowMillis) throws IOException {
		Either<Failure, Long> waitMillis = readWaitMillis(exchange, settings);
		if (waitMillis.isLeft()) {
			return Either.left(waitMillis.getLeft());
		}
		return Exchanges.readBody(exchange, settings.maxBodyBytes())
			.map((body) -> new CallerRequest(account, body, nowMillis + waitMillis.get()));
	}

	private static Either<Failure, Long> readWaitMillis(HttpExchange exchange, Settings.Callers settings) {
		String text = Exchanges.header(exchange, DEADLINE_HEADER).orElse(null);
		if (text == null) {
			return Either.right(settings.defaultDeadlineMillis());
		}
		try {
			long requestedMillis = Long.parseLong(text);
			if (requestedMillis > 0) {
				return Either.right(Math.min(requestedMillis, settings.maxDeadlineMillis()));
			}
		}
		catch (NumberFormatException ex) {
			return Either.left(malformedDeadline(text));
		}
		return Either.left(malformedDeadline(text));
	}

	private static Failure malformedDeadline(String text) {
		return Exchanges.malformed(DEADLINE_HEADER + " must be a positive whole number but was '" + text + "'");
	}

}
