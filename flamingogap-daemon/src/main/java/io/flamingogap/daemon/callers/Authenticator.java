package io.flamingogap.daemon.callers;

import java.util.function.Supplier;

import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.Account;
import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.text.Digests;
import io.flamingogap.daemon.http.Exchanges;

/**
 * Authenticates callers by the bearer key of their client account.
 */
final class Authenticator {

	private final Supplier<Manifest> manifest;

	Authenticator(Supplier<Manifest> manifest) {
		this.manifest = manifest;
	}

	Either<Failure, Account> authenticate(HttpExchange exchange) {
		return Exchanges.bearerKey(exchange)
			.map(Digests::sha256)
			.flatMap((digest) -> this.manifest.get().findAccountByDigest(digest))
			.<Either<Failure, Account>>map(Either::right)
			.orElseGet(() -> Either.left(Failure.notRun(ProblemType.UNAUTHENTICATED, Step.AUTHENTICATE, "caller",
					"no account has this bearer key")));
	}

}
