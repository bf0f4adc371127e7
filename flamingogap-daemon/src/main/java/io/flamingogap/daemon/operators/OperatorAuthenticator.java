package io.flamingogap.daemon.operators;

import java.util.Optional;
import java.util.function.Supplier;

import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.manifest.Operator;
import io.flamingogap.core.text.Digests;
import io.flamingogap.daemon.settings.Settings;

/**
 * Finds the operator of a request by its bearer key.
 */
final class OperatorAuthenticator {

	private final Supplier<Manifest> currentManifest;

	private final Settings.Operators bootstrapOperator;

	/**
	 * Create an authenticator.
	 * @param currentManifest returns the manifest in force, which names the operators
	 * @param bootstrapOperator the operator who is accepted while the manifest in force
	 * names none, so as to publish the first manifest
	 */
	OperatorAuthenticator(Supplier<Manifest> currentManifest, Settings.Operators bootstrapOperator) {
		this.currentManifest = currentManifest;
		this.bootstrapOperator = bootstrapOperator;
	}

	/**
	 * Find the operator of a request.
	 * @param bearerKey the key that the request carries; empty if it carries none
	 * @return the name of the operator, or the failure to answer with
	 */
	Either<Failure, String> authenticate(Optional<String> bearerKey) {
		// The manifest may change at any time; one request sees one manifest.
		Manifest manifest = this.currentManifest.get();
		Optional<String> digest = bearerKey.map(Digests::sha256);
		Optional<String> operatorName = digest.flatMap(manifest::findOperatorByDigest).map(Operator::name);
		if (operatorName.isPresent()) {
			return Either.right(operatorName.get());
		}
		boolean mayBootstrap = manifest.operator().isEmpty();
		if (mayBootstrap && digest.filter(this.bootstrapOperator.bootstrapKeyDigest()::equals).isPresent()) {
			return Either.right(this.bootstrapOperator.bootstrapName());
		}
		boolean isAccount = digest.flatMap(manifest::findAccountByDigest).isPresent();
		ProblemType type = isAccount ? ProblemType.FORBIDDEN : ProblemType.UNAUTHENTICATED;
		return Either.left(Failure.notRun(type, Step.AUTHENTICATE, "operator", "no operator has this bearer key"));
	}

}
