package io.flamingogap.gateway.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.apache.thrift.TException;

import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.rollout.Tally;
import io.flamingogap.gateway.peers.ThriftSerializer;
import io.flamingogap.wire.report.ServiceDemand;
import io.flamingogap.wire.report.UsageIntent;
import io.flamingogap.wire.report.UsageWindow;
import io.flamingogap.wire.report.VersionTally;

/**
 * The bytes of what nodes keep in the store for each other.
 */
public final class ReportCodec {

	private ReportCodec() {
	}

	/**
	 * Write a report.
	 * @param report the report
	 * @return the bytes
	 */
	public static byte[] write(NodeReport report) {
		io.flamingogap.wire.report.NodeReport wire = new io.flamingogap.wire.report.NodeReport(report.node().name(),
				report.node().incarnation(), report.callerAddress().toString(), report.zone(), report.serving(),
				report.timeOfDayMillis(), report.demandPerSecond(), usage(report), services(report), tallies(report));
		return ThriftSerializer.serialize(wire);
	}

	private static List<UsageWindow> usage(NodeReport report) {
		List<UsageWindow> windows = new ArrayList<>();
		report.usage().forEach((number, requests) -> windows.add(new UsageWindow(number, requests)));
		return windows;
	}

	private static List<ServiceDemand> services(NodeReport report) {
		return report.services()
			.stream()
			.map((demand) -> new ServiceDemand(demand.service(), demand.openRequests(), demand.promptTokensPerSecond(),
					demand.requestsPerMinute()))
			.toList();
	}

	private static List<VersionTally> tallies(NodeReport report) {
		return report.tallies()
			.stream()
			.map((row) -> new VersionTally(row.service(), row.version(), row.route(), row.tally().requests(),
					row.tally().failures(), row.tally().slow()))
			.toList();
	}

	/**
	 * Read a report.
	 * @param bytes the bytes
	 * @return the report, or why it can't be read
	 */
	public static Either<String, NodeReport> read(byte[] bytes) {
		try {
			io.flamingogap.wire.report.NodeReport wire = ThriftSerializer.deserialize(bytes,
					new io.flamingogap.wire.report.NodeReport());
			Map<Long, Map<String, Long>> usage = new HashMap<>();
			wire.getUsage().forEach((window) -> usage.put(window.getNumber(), window.getRequests()));
			return Either.right(new NodeReport(new NodeId(wire.getNode(), wire.getIncarnation()),
					Address.parse(wire.getCallerAddress()), wire.getZone(), wire.isServing(), wire.getTimeOfDayMillis(),
					wire.getDemandPerSecond(), usage, readServices(wire), readTallies(wire)));
		}
		catch (TException | IllegalArgumentException ex) {
			return Either.left(String.valueOf(ex.getMessage()));
		}
	}

	private static List<NodeReport.ServiceDemand> readServices(io.flamingogap.wire.report.NodeReport wire) {
		return wire.getServices()
			.stream()
			.map((demand) -> new NodeReport.ServiceDemand(demand.getServiceName(), demand.getOpenRequests(),
					demand.getPromptTokensPerSecond(), demand.getRequestsPerMinute()))
			.toList();
	}

	private static List<NodeReport.VersionTally> readTallies(io.flamingogap.wire.report.NodeReport wire) {
		return wire.getTallies()
			.stream()
			.map((row) -> new NodeReport.VersionTally(row.getServiceName(), row.getVersion(), row.getRoute(),
					new Tally(row.getRequests(), row.getFailures(), row.getSlow())))
			.toList();
	}

	/**
	 * Write what a usage report will say.
	 * @param window the number of the window
	 * @param requests requests by account
	 * @return the bytes
	 */
	public static byte[] writeUsage(long window, Map<String, Long> requests) {
		return ThriftSerializer.serialize(new UsageIntent(window, requests));
	}

	/**
	 * Read what a usage report will say.
	 * @param bytes the bytes
	 * @return the window with its requests by account, or why it can't be read
	 */
	public static Either<String, Map.Entry<Long, Map<String, Long>>> readUsage(byte[] bytes) {
		try {
			UsageIntent wire = ThriftSerializer.deserialize(bytes, new UsageIntent());
			return Either.right(Map.entry(wire.getWindow(), wire.getRequests()));
		}
		catch (TException ex) {
			return Either.left(String.valueOf(ex.getMessage()));
		}
	}

}
