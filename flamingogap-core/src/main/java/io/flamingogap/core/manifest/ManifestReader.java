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
 * Reads manifests and reports all their faults at once.
 */
public final class ManifestReader {

	/** The largest manifest that is read. */
	public static final int MAX_BYTES = 1_048_576;

	private static final List<String> UNREPEATABLE_METHODS = List.of("DELETE", "POST", "PUT");

	private ManifestReader() {
	}

	/**
	 * Read a manifest.
	 * @param text the TOML document
	 * @return the manifest, or every fault that was found
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
		List<ValidationError> faults = new ArrayList<>();
		Set<String> zones = unique("zone", manifest.zone(), Zone::name, faults);
		Set<String> services = unique("service", manifest.service(), Service::name, faults);
		unique("server", manifest.server(), BackendServer::name, faults);
		unique("account", manifest.account(), Account::name, faults);
		unique("operator", manifest.operator(), Operator::name, faults);
		unique("rollout", manifest.rollout(), Rollout::service, faults);
		checkServers(manifest, zones, services, faults);
		checkServices(manifest, faults);
		checkRollouts(manifest, zones, services, faults);
		if (manifest.operator().isEmpty()) {
			faults.add(new ValidationError("operator", "absent",
					"at least one operator, or nobody could change this manifest"));
		}
		return faults.isEmpty() ? Either.right(manifest) : Either.left(List.copyOf(faults));
	}

	private static void checkServers(Manifest manifest, Set<String> zones, Set<String> services,
			List<ValidationError> faults) {
		for (int i = 0; i < manifest.server().size(); i++) {
			BackendServer server = manifest.server().get(i);
			require("server[" + i + "].zone", server.zone(), zones, faults);
			require("server[" + i + "].service", server.service(), services, faults);
		}
	}

	private static void checkServices(Manifest manifest, List<ValidationError> faults) {
		for (int i = 0; i < manifest.service().size(); i++) {
			Service service = manifest.service().get(i);
			if (service.kind() == ServiceKind.PLAIN && service.routes().isEmpty()) {
				faults.add(new ValidationError("service[" + i + "].routes", "absent",
						"at least one route for a plain service"));
			}
			checkRoutes("service[" + i + "].routes", service, faults);
			if (service.kind() == ServiceKind.MODEL && !service.routes().isEmpty()) {
				faults.add(new ValidationError("service[" + i + "].routes", "present", "left out for a model"));
			}
		}
	}

	private static void checkRoutes(String key, Service service, List<ValidationError> faults) {
		for (int i = 0; i < service.routes().size(); i++) {
			Route route = service.routes().get(i);
			if (!route.repeatable() && !UNREPEATABLE_METHODS.contains(route.method())) {
				faults.add(new ValidationError(key + "[" + i + "].method", route.method(),
						"one of " + UNREPEATABLE_METHODS + " for a call that may not be repeated"));
			}
		}
	}

	private static void checkRollouts(Manifest manifest, Set<String> zones, Set<String> services,
			List<ValidationError> faults) {
		for (int i = 0; i < manifest.rollout().size(); i++) {
			Rollout rollout = manifest.rollout().get(i);
			String key = "rollout[" + i + "]";
			require(key + ".service", rollout.service(), services, faults);
			rollout.zones().forEach((zone) -> require(key + ".zones", zone, zones, faults));
			if (rollout.deadlineEpochSeconds() <= rollout.startsAtEpochSeconds()) {
				faults.add(new ValidationError(key + ".deadlineEpochSeconds",
						String.valueOf(rollout.deadlineEpochSeconds()), "later than startsAtEpochSeconds"));
			}
			manifest.findService(rollout.service())
				.filter((service) -> service.version().equals(rollout.candidate()))
				.ifPresent((service) -> faults.add(new ValidationError(key + ".candidate", rollout.candidate(),
						"another version than the one in use")));
		}
	}

	private static void require(String key, String value, Set<String> known, List<ValidationError> faults) {
		if (!known.contains(value)) {
			faults.add(new ValidationError(key, value, "one of " + known.stream().sorted().toList()));
		}
	}

	private static <T> Set<String> unique(String key, List<T> entries, Function<T, String> name,
			List<ValidationError> faults) {
		Set<String> names = new HashSet<>();
		for (int i = 0; i < entries.size(); i++) {
			if (!names.add(name.apply(entries.get(i)))) {
				faults
					.add(new ValidationError(key + "[" + i + "]", name.apply(entries.get(i)), "a name used only once"));
			}
		}
		return names;
	}

}
