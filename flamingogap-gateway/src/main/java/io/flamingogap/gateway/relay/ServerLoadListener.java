package io.flamingogap.gateway.relay;

import io.flamingogap.core.servers.KnownServer;

/**
 * Receives a notification when this node's load at a backend server changes.
 */
@FunctionalInterface
public interface ServerLoadListener {

	/**
	 * Receive a change of this node's load at a server.
	 * @param server the server, with its load after the change
	 */
	void onLoadChanged(KnownServer server);

}
