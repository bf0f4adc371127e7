package io.flamingogap.daemon.fleet;

import java.util.List;

import io.flamingogap.core.text.Digests;

/**
 * The text of the manifests that a {@link Fleet} publishes.
 */
final class FleetManifest {

	private static final String SERVICES = """
			[[service]]
			name = "assistant"
			kind = "model"
			version = "v1"
			targetMillis = 500
			tokenGapMillis = 300
			[[service]]
			name = "desk"
			kind = "plain"
			version = "v1"
			targetMillis = 500
			[[service.routes]]
			method = "GET"
			path = "/lots"
			repeatable = true
			[[service.routes]]
			method = "POST"
			path = "/bookings"
			repeatable = false
			""";

	private FleetManifest() {
	}

	/**
	 * Write a manifest without a rollout.
	 * @param zones the number of availability zones
	 * @param engines the addresses of the engines
	 * @param desk the address of the plain service
	 * @return the manifest
	 */
	static String of(int zones, List<String> engines, String desk) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < zones; i++) {
			text.append("[[zone]]\nname = \"zone-%d\"\nregion = \"cariri\"\n".formatted(i));
		}
		text.append(SERVICES);
		for (int i = 0; i < engines.size(); i++) {
			text.append(server("engine-" + i, "assistant", "v1", engines.get(i)));
		}
		text.append(server("desk-0", "desk", "v1", desk));
		text.append(
				"[[account]]\nname = \"buyers\"\nkeyDigest = \"%s\"\n".formatted(Digests.sha256(Fleet.ACCOUNT_KEY)));
		text.append("[[operator]]\nname = \"release-pipeline\"\nkeyDigest = \"%s\"\n"
			.formatted(Digests.sha256(Fleet.OPERATOR_KEY)));
		return text.toString();
	}

	/**
	 * Write what a manifest needs besides for a rollout of the plain service.
	 * @param candidate the address of the candidate
	 * @param startsAtSeconds when it starts, in seconds since 1970 UTC
	 * @param lengthSeconds the time until the deadline
	 * @return the rest of the manifest
	 */
	static String rollout(String candidate, long startsAtSeconds, long lengthSeconds) {
		return server("desk-1", "desk", "v2", candidate) + """
				[[rollout]]
				service = "desk"
				candidate = "v2"
				startsAtEpochSeconds = %d
				deadlineEpochSeconds = %d
				""".formatted(startsAtSeconds, startsAtSeconds + lengthSeconds);
	}

	private static String server(String name, String service, String version, String address) {
		return "[[server]]\nname = \"%s\"\nservice = \"%s\"\nversion = \"%s\"\nzone = \"zone-0\"\naddress = \"%s\"\n"
			.formatted(name, service, version, address);
	}

}
