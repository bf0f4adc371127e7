package io.flamingogap.gateway.relay;

import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;

import io.flamingogap.core.quota.FleetDemand;
import io.flamingogap.core.quota.QuotaLimiter;
import io.flamingogap.core.servers.ServerSelector;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.gateway.backends.BackendConnectionPool;
import io.flamingogap.gateway.time.NodeClock;

/**
 * What the request path works with.
 *
 * @param loop the event loop
 * @param clock tells the present time
 * @param config the configuration in force
 * @param servers the backend servers
 * @param selector chooses a server
 * @param versions chooses between versions that are compared
 * @param pool connections to servers
 * @param quotas admits requests
 * @param lender borrows from other nodes' shares
 * @param fleet what other nodes report
 * @param metrics counts what happens
 * @param demands counts what callers ask of services
 * @param loads hears of changes of this node's load at servers
 * @param random draws shares of traffic
 */
public record RelayDependencies(EventLoop loop, NodeClock clock, ConfigHolder config, ServerTable servers,
		ServerSelector selector, VersionSelector versions, BackendConnectionPool pool, QuotaLimiter quotas,
		QuotaBorrower lender, FleetDemand fleet, RelayMetrics metrics, ServiceDemandTracker demands,
		ServerLoadListener loads, RandomGenerator random) {
}
