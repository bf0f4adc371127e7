package io.flamingogap.daemon.fleet;

import java.util.List;

import io.flamingogap.core.text.Digests;

/**
 * Utility that creates the manifests that a {@link Fleet} publishes.
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
	 * Create a manifest without a rollout.
	 * @param zoneCount the number of availability zones
	 * @param engineAddresses the addresses of the engines
	 * @param plainServiceAddress the address of the plain service
	 * @return a TOML document
	 */
	static String of(int zoneCount, List<String> engineAddresses, String plainServiceAddress) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < zoneCount; i++) {
			text.append("[[zone]]\nname = \"zone-%d\"\nregion = \"cariri\"\n".formatted(i));
		}
		text.append(SERVICES);
		for (int i = 0; i < engineAddresses.size(); i++) {
			text.append(serverSection("engine-" + i, "assistant", "v1", engineAddresses.get(i)));
		}
		text.append(serverSection("desk-0", "desk", "v1", plainServiceAddress));
		text.append(
				"[[account]]\nname = \"buyers\"\nkeyDigest = \"%s\"\n".formatted(Digests.sha256(Fleet.ACCOUNT_KEY)));
		text.append("[[operator]]\nname = \"release-pipeline\"\nkeyDigest = \"%s\"\n"
			.formatted(Digests.sha256(Fleet.OPERATOR_KEY)));
		return text.toString();
	}

	/**
	 * Create the sections that add a rollout of the plain service to a manifest.
	 * @param candidateAddress the address of the backend server that runs the candidate
	 * @param startsAtSeconds the start time, in seconds since 1970 UTC
	 * @param durationSeconds the time from the start to the deadline
	 * @return TOML text to append to a manifest
	 */
	static String rolloutSection(String candidateAddress, long startsAtSeconds, long durationSeconds) {
		return serverSection("desk-1", "desk", "v2", candidateAddress) + """
				[[rollout]]
				service = "desk"
				candidate = "v2"
				startsAtEpochSeconds = %d
				deadlineEpochSeconds = %d
				""".formatted(startsAtSeconds, startsAtSeconds + durationSeconds);
	}

	private static String serverSection(String name, String service, String version, String address) {
		return "[[server]]\nname = \"%s\"\nservice = \"%s\"\nversion = \"%s\"\nzone = \"zone-0\"\naddress = \"%s\"\n"
			.formatted(name, service, version, address);
	}

}
