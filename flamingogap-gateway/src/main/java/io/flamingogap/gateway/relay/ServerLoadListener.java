package io.flamingogap.gateway.relay;

import io.flamingogap.core.servers.KnownServer;

/**
 * Hears that this node's load at a backend server has changed.
 */
@FunctionalInterface
public interface ServerLoadListener {

	/**
	 * The load has changed.
	 * @param server the server
	 */
	void onLoadChanged(KnownServer server);

}
