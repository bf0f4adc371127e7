package io.flamingogap.gateway.relay;

import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;

import io.flamingogap.core.servers.PlacementRules;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerSelector;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.gateway.backends.BackendConnectionPool;
import io.flamingogap.gateway.memory.AnswerMemory;
import io.flamingogap.gateway.time.NodeClock;

/**
 * The collaborators of {@link RequestRelay} and of the requests that it relays.
 *
 * @param eventLoop the event loop on which all requests are relayed
 * @param clock the clock of the node
 * @param config holds the current configuration
 * @param servers the known backend servers
 * @param serverSelector selects a server for a request
 * @param versionSelector restricts requests to service versions during a rollout
 * @param connectionPool connections to backend servers
 * @param quotaGate admits requests within the accounts' quotas
 * @param knownNodes the number of entry nodes, including this one
 * @param metrics counters and latency histograms
 * @param demandTracker tracks callers' demand for each service
 * @param loadListener notified when this node's load at a backend server changes
 * @param departureListener notified when a server says in an answer that it is leaving
 * @param requestGuard learns what requests do to servers
 * @param coldStartGate admits requests to cold servers
 * @param answerMemory limits the memory for incomplete answers
 * @param random chooses services by their share of the traffic
 * @param placementRules decides which servers a request may be sent to
 */
public record RelayDependencies(EventLoop eventLoop, NodeClock clock, ConfigHolder config, ServerTable servers,
		ServerSelector serverSelector, VersionSelector versionSelector, BackendConnectionPool connectionPool,
		QuotaGate quotaGate, IntSupplier knownNodes, RelayMetrics metrics, ServiceDemandTracker demandTracker,
		ServerLoadListener loadListener, Consumer<ServerRegistration> departureListener, RequestGuard requestGuard,
		ColdStartGate coldStartGate, AnswerMemory answerMemory, RandomGenerator random, PlacementRules placementRules) {
}
