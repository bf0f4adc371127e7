package io.flamingogap.gateway.cloud;

import java.lang.reflect.Proxy;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

import io.flamingogap.core.duty.UsageCounts;
import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.servers.EvacuatedZones;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.gateway.node.RolloutController;
import io.flamingogap.gateway.relay.ServiceDemandTracker;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Creates the dependencies of a {@link DutyRunner} whose only duty is to report usage.
 */
final class DutyRunnerDependencies {

	private DutyRunnerDependencies() {
	}

	static DutyDependencies create(EventLoop loop, RecordStore store, CloudApi cloud, NodeClock clock,
			LongSupplier correctedTimeOfDayMillis, LongSupplier nextReportOffset, UsageCounts usage, String memberName,
			boolean firstStart) {
		FleetView fleet = new FleetView(new NodeId(memberName, 1), 1_500);
		ServerTable servers = new ServerTable();
		RecordCodec noCodec = (RecordCodec) Proxy.newProxyInstance(RecordCodec.class.getClassLoader(),
				new Class<?>[] { RecordCodec.class }, (proxy, method, arguments) -> {
					throw new UnsupportedOperationException(method.getName());
				});
		return new DutyDependencies(loop, store, noCodec, cloud, clock, correctedTimeOfDayMillis, new ConfigHolder(),
				new RolloutController(servers, fleet, new SplittableRandom(1), 0.1), servers, () -> false,
				new FleetTotals(fleet, usage, new ServiceDemandTracker(), clock), memberName, firstStart,
				new EvacuatedZones(Set.of()), nextReportOffset);
	}

}
