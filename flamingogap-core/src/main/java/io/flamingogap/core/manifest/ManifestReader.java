package io.flamingogap.core.manifest;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import io.vavr.control.Either;

import io.flamingogap.core.toml.RecordBinder;
import io.flamingogap.core.toml.ValidationError;

/**
 * Reads and validates manifests. All errors of a document are reported together; the
 * references between tables are checked once each table is valid on its own.
 */
public final class ManifestReader {

	/** Maximum size of a manifest in bytes of UTF-8. */
	public static final int MAX_BYTES = 1_048_576;

	/** Methods that a route with {@code repeatable = false} may have. */
	private static final List<String> METHODS_OF_UNREPEATABLE_ROUTES = List.of("DELETE", "POST", "PUT");

	private ManifestReader() {
	}

	/**
	 * Read a manifest.
	 * @param text the TOML document
	 * @return the manifest, or all errors that were found
	 */
	public static Either<List<ValidationError>, Manifest> read(String text) {
		int lengthBytes = text.getBytes(StandardCharsets.UTF_8).length;
		if (lengthBytes > MAX_BYTES) {
			return Either.left(List
				.of(new ValidationError("document", lengthBytes + " bytes", "at most " + MAX_BYTES + " bytes")));
		}
		return RecordBinder.bind(text, Manifest.class).flatMap(ManifestReader::checkReferences);
	}

	private static Either<List<ValidationError>, Manifest> checkReferences(Manifest manifest) {
		List<ValidationError> errors = new ArrayList<>();
		Set<String> zones = collectUniqueNames("zone", manifest.zone(), Zone::name, errors);
		Set<String> services = collectUniqueNames("service", manifest.service(), Service::name, errors);
		collectUniqueNames("server", manifest.server(), BackendServer::name, errors);
		collectUniqueNames("account", manifest.account(), Account::name, errors);
		collectUniqueNames("operator", manifest.operator(), Operator::name, errors);
		collectUniqueNames("rollout", manifest.rollout(), Rollout::service, errors);
		checkServers(manifest, zones, services, errors);
		checkServices(manifest, errors);
		checkRollouts(manifest, zones, services, errors);
		if (manifest.operator().isEmpty()) {
			// Only bootstrap operators, if any, could change a manifest without
			// operators.
			errors.add(new ValidationError("operator", "absent",
					"at least one operator, because otherwise nobody but bootstrap operators could change the manifest"));
		}
		return errors.isEmpty() ? Either.right(manifest) : Either.left(List.copyOf(errors));
	}

	private static void checkServers(Manifest manifest, Set<String> zones, Set<String> services,
			List<ValidationError> errors) {
		for (int i = 0; i < manifest.server().size(); i++) {
			BackendServer server = manifest.server().get(i);
			requireKnown("server[" + i + "].zone", server.zone(), zones, errors);
			requireKnown("server[" + i + "].service", server.service(), services, errors);
		}
	}

	private static void checkServices(Manifest manifest, List<ValidationError> errors) {
		for (int i = 0; i < manifest.service().size(); i++) {
			Service service = manifest.service().get(i);
			if (service.kind() == ServiceKind.PLAIN && service.routes().isEmpty()) {
				errors.add(new ValidationError("service[" + i + "].routes", "absent",
						"at least one route for a plain service"));
			}
			checkRoutes("service[" + i + "].routes", service, errors);
			if (service.kind() == ServiceKind.MODEL && !service.routes().isEmpty()) {
				errors.add(new ValidationError("service[" + i + "].routes", "present", "absent for a model"));
			}
		}
	}

	private static void checkRoutes(String key, Service service, List<ValidationError> errors) {
		for (int i = 0; i < service.routes().size(); i++) {
			Route route = service.routes().get(i);
			if (!route.repeatable() && !METHODS_OF_UNREPEATABLE_ROUTES.contains(route.method())) {
				errors.add(new ValidationError(key + "[" + i + "].method", route.method(),
						"one of " + METHODS_OF_UNREPEATABLE_ROUTES + " for a route with repeatable = false"));
			}
		}
	}

	private static void checkRollouts(Manifest manifest, Set<String> zones, Set<String> services,
			List<ValidationError> errors) {
		for (int i = 0; i < manifest.rollout().size(); i++) {
			Rollout rollout = manifest.rollout().get(i);
			String key = "rollout[" + i + "]";
			requireKnown(key + ".service", rollout.service(), services, errors);
			rollout.zones().forEach((zone) -> requireKnown(key + ".zones", zone, zones, errors));
			if (rollout.deadlineEpochSeconds() <= rollout.startsAtEpochSeconds()) {
				errors.add(new ValidationError(key + ".deadlineEpochSeconds",
						String.valueOf(rollout.deadlineEpochSeconds()),
						"later than startsAtEpochSeconds = " + rollout.startsAtEpochSeconds()));
			}
			manifest.findService(rollout.service())
				.filter((service) -> service.version().equals(rollout.candidate()))
				.ifPresent((service) -> errors.add(new ValidationError(key + ".candidate", rollout.candidate(),
						"a version other than the current one")));
		}
	}

	private static void requireKnown(String key, String value, Set<String> known, List<ValidationError> errors) {
		if (!known.contains(value)) {
			errors.add(new ValidationError(key, value, "one of " + known.stream().sorted().toList()));
		}
	}

	private static <T> Set<String> collectUniqueNames(String key, List<T> entries, Function<T, String> name,
			List<ValidationError> errors) {
		Set<String> names = new HashSet<>();
		for (int i = 0; i < entries.size(); i++) {
			if (!names.add(name.apply(entries.get(i)))) {
				errors.add(new ValidationError(key + "[" + i + "]", name.apply(entries.get(i)), "a unique name"));
			}
		}
		return names;
	}

}
