package io.flamingogap.gateway.cloud;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.gateway.node.Rollouts;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.time.NodeClock;

/**
 * What the holder of the duties works with.
 *
 * @param loop the event loop
 * @param store the store
 * @param codec how records of operators are spelled
 * @param cloud the cloud's calls
 * @param clock tells the present time
 * @param trueMillis tells the true time of day, in milliseconds since 1970 UTC
 * @param config the configuration in force
 * @param rollouts the rollouts, whose end operators are told
 * @param servers the backend servers
 * @param serversKnown whether all registrations were read once
 * @param totals figures over all nodes
 * @param member the name of the node in the group, the same for each run, so that a node
 * that starts again holds at once what it held
 * @param firstStart whether the whole system starts for the first time
 */
public record DutyDependencies(EventLoop loop, RecordStore store, RecordCodec codec, CloudApi cloud, NodeClock clock,
		LongSupplier trueMillis, ConfigHolder config, Rollouts rollouts, ServerTable servers,
		BooleanSupplier serversKnown, FleetTotals totals, String member, boolean firstStart) {
}
