package io.flamingogap.gateway.cloud;

import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

import io.flamingogap.core.servers.EvacuatedZones;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.gateway.node.RolloutController;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.time.NodeClock;

/**
 * The collaborators of a {@link DutyRunner}.
 *
 * @param loop the event loop that all duties run on
 * @param store the store that assigns the duties and keeps their records
 * @param codec encodes the statuses of rollouts
 * @param cloud the calls to the cloud
 * @param clock the clocks of this process
 * @param correctedTimeOfDayMillis the time of day corrected by the clocks of the other
 * nodes, in milliseconds since 1970 UTC
 * @param config holds the current configuration
 * @param rollouts tracks the rollouts, whose progress is published for operators
 * @param servers the backend servers
 * @param serversListed whether all registrations of backend servers were read at least
 * once
 * @param totals usage and demand over all nodes
 * @param memberName the name of this node in the group; the same for each run, so that a
 * restarted node keeps the duties it held
 * @param firstStart whether the whole system starts for the first time
 * @param evacuatedZones the zones in which no servers are ordered
 * @param nextReportOffset returns the offset up to which this node has read the reports
 * of the nodes
 */
public record DutyDependencies(EventLoop loop, RecordStore store, RecordCodec codec, CloudApi cloud, NodeClock clock,
		LongSupplier correctedTimeOfDayMillis, ConfigHolder config, RolloutController rollouts, ServerTable servers,
		BooleanSupplier serversListed, FleetTotals totals, String memberName, boolean firstStart,
		EvacuatedZones evacuatedZones, LongSupplier nextReportOffset) {
}
