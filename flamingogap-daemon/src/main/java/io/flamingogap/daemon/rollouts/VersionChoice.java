package io.flamingogap.daemon.rollouts;

import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.manifest.Rollout;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.routing.ServerQuery;

/**
 * The version of a service that was chosen for a request.
 *
 * @param service the service that the request is for
 * @param version the name of the chosen version
 * @param zones the availability zones that the request may run in; empty for all
 * @param rollout the rollout of the service; {@code null} if none is under way
 * @param arm whether the version is the candidate or the current one
 * @param route the route under which the outcome is counted
 */
public record VersionChoice(Service service, String version, List<String> zones, @Nullable Rollout rollout, Arm arm,
		String route) {

	/**
	 * Return the criteria for a backend server that runs the version.
	 * @param triedServers the names of the servers that the request has already tried
	 * @return a query for servers of the version in the allowed zones
	 */
	public ServerQuery toServerQuery(Set<String> triedServers) {
		return new ServerQuery(this.service.name(), this.version, this.zones, triedServers);
	}

	/**
	 * Return the choice to fall back to if no server of the candidate can be reached.
	 * @return a choice of the current version in any availability zone
	 */
	public VersionChoice withCurrentVersion() {
		return new VersionChoice(this.service, this.service.version(), List.of(), this.rollout, Arm.CURRENT,
				this.route);
	}

}
