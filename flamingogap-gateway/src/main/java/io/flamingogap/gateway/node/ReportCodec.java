package io.flamingogap.gateway.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import io.vavr.control.Either;
import org.apache.thrift.TException;

import io.flamingogap.core.duty.DutyClaim;
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
 * Encodes and decodes, with Thrift, the records that nodes write to the store for each
 * other: node reports, claims of the duties, and the usage reports that a node stores
 * before it sends them to the cloud.
 */
public final class ReportCodec {

	private ReportCodec() {
	}

	/**
	 * Encode the report of a node.
	 * @param report the report
	 * @return the content of its record
	 */
	public static byte[] encodeNodeReport(NodeReport report) {
		io.flamingogap.wire.report.NodeReport wire = new io.flamingogap.wire.report.NodeReport(report.node().name(),
				report.node().incarnation(), report.callerAddress().toString(), report.zone(), report.serving(),
				report.timeOfDayMillis(), Map.of(), encodeUsage(report), encodeServices(report), encodeTallies(report))
			.setSequence(report.sequence());
		return ThriftSerializer.serialize(wire);
	}

	private static List<UsageWindow> encodeUsage(NodeReport report) {
		List<UsageWindow> windows = new ArrayList<>();
		report.usage().forEach((number, requests) -> windows.add(new UsageWindow(number, requests)));
		return windows;
	}

	private static List<ServiceDemand> encodeServices(NodeReport report) {
		return report.services()
			.stream()
			.map((demand) -> new ServiceDemand(demand.service(), demand.openRequests(), demand.promptTokensPerSecond(),
					demand.requestsPerMinute()))
			.toList();
	}

	private static List<VersionTally> encodeTallies(NodeReport report) {
		return report.tallies()
			.stream()
			.map((row) -> new VersionTally(row.service(), row.version(), row.route(), row.tally().requests(),
					row.tally().failures(), row.tally().slow()))
			.toList();
	}

	/**
	 * Decode the report of a node.
	 * @param bytes the content of its record
	 * @return the report, or why it can't be decoded
	 */
	public static Either<String, NodeReport> decodeNodeReport(byte[] bytes) {
		try {
			io.flamingogap.wire.report.NodeReport wire = ThriftSerializer.deserialize(bytes,
					new io.flamingogap.wire.report.NodeReport());
			Map<Long, Map<String, Long>> usage = new HashMap<>();
			wire.getUsage().forEach((window) -> usage.put(window.getNumber(), window.getRequests()));
			return Either.right(new NodeReport(new NodeId(wire.getNode(), wire.getIncarnation()), wire.getSequence(),
					Address.parse(wire.getCallerAddress()), wire.getZone(), wire.isServing(), wire.getTimeOfDayMillis(),
					usage, decodeServices(wire), decodeTallies(wire)));
		}
		catch (TException | IllegalArgumentException ex) {
			return Either.left(String.valueOf(ex));
		}
	}

	private static List<NodeReport.ServiceDemand> decodeServices(io.flamingogap.wire.report.NodeReport wire) {
		return wire.getServices()
			.stream()
			.map((demand) -> new NodeReport.ServiceDemand(demand.getServiceName(), demand.getOpenRequests(),
					demand.getPromptTokensPerSecond(), demand.getRequestsPerMinute()))
			.toList();
	}

	private static List<NodeReport.VersionTally> decodeTallies(io.flamingogap.wire.report.NodeReport wire) {
		return wire.getTallies()
			.stream()
			.map((row) -> new NodeReport.VersionTally(row.getServiceName(), row.getVersion(), row.getRoute(),
					new Tally(row.getRequests(), row.getFailures(), row.getSlow())))
			.toList();
	}

	/**
	 * Encode a claim of the duties.
	 * @param claim the claim
	 * @return the content of its record
	 */
	public static byte[] encodeClaim(DutyClaim claim) {
		io.flamingogap.wire.report.DutyClaim wire = new io.flamingogap.wire.report.DutyClaim(claim.holder(),
				claim.token(), claim.timeline());
		claim.settledWindow().ifPresent(wire::setSettledWindow);
		return ThriftSerializer.serialize(wire);
	}

	/**
	 * Decode a claim of the duties.
	 * @param bytes the content of its record
	 * @return the claim, or why it can't be decoded
	 */
	public static Either<String, DutyClaim> decodeClaim(byte[] bytes) {
		try {
			io.flamingogap.wire.report.DutyClaim wire = ThriftSerializer.deserialize(bytes,
					new io.flamingogap.wire.report.DutyClaim());
			return Either.right(new DutyClaim(wire.getHolder(), wire.getToken(), wire.getTimeline(),
					wire.isSetSettledWindow() ? OptionalLong.of(wire.getSettledWindow()) : OptionalLong.empty()));
		}
		catch (TException ex) {
			return Either.left(String.valueOf(ex));
		}
	}

	/**
	 * Encode a usage report before it is sent to the cloud.
	 * @param usage the report
	 * @return the content of its record
	 */
	public static byte[] encodeUsageReport(StoredUsage usage) {
		UsageIntent wire = new UsageIntent(usage.window(), usage.requests()).setTimeline(usage.timeline());
		usage.token().ifPresent(wire::setToken);
		return ThriftSerializer.serialize(wire);
	}

	/**
	 * Decode a usage report that was stored before it was sent to the cloud.
	 * @param bytes the content of its record
	 * @return the report, or why the record can't be decoded
	 */
	public static Either<String, StoredUsage> decodeUsageReport(byte[] bytes) {
		try {
			UsageIntent wire = ThriftSerializer.deserialize(bytes, new UsageIntent());
			return Either.right(new StoredUsage(wire.getWindow(), wire.getRequests(),
					wire.isSetToken() ? OptionalLong.of(wire.getToken()) : OptionalLong.empty(), wire.getTimeline()));
		}
		catch (TException ex) {
			return Either.left(String.valueOf(ex));
		}
	}

	/**
	 * A usage report that was stored before it was sent to the cloud.
	 *
	 * @param window the number of the window
	 * @param requests the number of requests by account
	 * @param token the fencing token of the holder that stored it; empty in records that
	 * don't name it
	 * @param timeline the number of the store's timeline in which the holder claimed the
	 * duties
	 */
	public record StoredUsage(long window, Map<String, Long> requests, OptionalLong token, long timeline) {
	}

}
