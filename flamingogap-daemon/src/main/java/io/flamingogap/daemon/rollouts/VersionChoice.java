package io.flamingogap.daemon.rollouts;

import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.manifest.Rollout;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.routing.ServerQuery;

/**
 * The version chosen for a request.
 *
 * @param service the service
 * @param version the version
 * @param zones the availability zones it may run in; none means all
 * @param rollout the rollout under way, if there is one
 * @param arm whether the version is the candidate
 * @param route what the evidence is counted under
 */
public record VersionChoice(Service service, String version, List<String> zones, @Nullable Rollout rollout, Arm arm,
		String route) {

	/**
	 * Return the query for a server of the version.
	 * @param tried the names of the servers that the request has tried
	 * @return the query
	 */
	public ServerQuery toServerQuery(Set<String> tried) {
		return new ServerQuery(this.service.name(), this.version, this.zones, tried);
	}

	/**
	 * Return the choice to fall back to when no server of the candidate can be reached.
	 * @return a choice of the version in use
	 */
	public VersionChoice withCurrentVersion() {
		return new VersionChoice(this.service, this.service.version(), List.of(), this.rollout, Arm.CURRENT,
				this.route);
	}

}
