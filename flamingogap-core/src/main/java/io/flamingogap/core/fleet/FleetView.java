package io.flamingogap.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.flamingogap.core.duty.UsageCounts;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.quota.FleetDemand;

/**
 * The fleet of entry nodes as their reports show it. A node that reported nothing for a
 * while isn't offered to callers; what it counted stays.
 * <p>
 * Not safe for use by several threads.
 */
public final class FleetView implements FleetDemand {

	/** Reports that a node may miss before it counts as silent. */
	private static final int MISSED_REPORTS = 3;

	private final Map<String, Heard> byName = new HashMap<>();

	private final Map<NodeId, UsageCounts> usage = new HashMap<>();

	private final NodeId self;

	private final long silentMillis;

	private long nowMillis;

	/**
	 * Create a view without other nodes.
	 * @param self the run of this node
	 * @param reportMillis the time between the reports of a node
	 */
	public FleetView(NodeId self, long reportMillis) {
		this.self = self;
		this.silentMillis = reportMillis * MISSED_REPORTS;
	}

	/**
	 * Take a report.
	 * @param report the report
	 * @param heardAtMillis the present time
	 */
	public void record(NodeReport report, long heardAtMillis) {
		if (!report.node().name().equals(this.self.name())) {
			this.byName.put(report.node().name(), new Heard(report, heardAtMillis));
		}
		if (!report.node().equals(this.self)) {
			UsageCounts counts = this.usage.computeIfAbsent(report.node(), (node) -> new UsageCounts());
			report.usage().forEach(counts::merge);
		}
	}

	/**
	 * Return whether a report is of an earlier run of this node.
	 * @param report the report
	 * @return {@code true} if it has this node's name and another incarnation
	 */
	public boolean isOfPreviousRun(NodeReport report) {
		return report.node().name().equals(this.self.name()) && !report.node().equals(this.self);
	}

	/**
	 * Move the present time forward.
	 * @param millis the present time
	 */
	public void advance(long millis) {
		this.nowMillis = millis;
	}

	/**
	 * Drop a node for good.
	 * @param name the name of the node
	 */
	public void forget(String name) {
		this.byName.remove(name);
	}

	private List<NodeReport> heard() {
		List<NodeReport> heard = new ArrayList<>();
		for (Heard each : this.byName.values()) {
			if (this.nowMillis - each.atMillis <= this.silentMillis) {
				heard.add(each.report);
			}
		}
		return heard;
	}

	/**
	 * Return the reports of the other nodes that were heard lately.
	 * @return the reports
	 */
	public Collection<NodeReport> recentReports() {
		return heard();
	}

	/**
	 * Return where callers of a zone should connect.
	 * @param zone the callers' zone
	 * @param own this node's report
	 * @return the serving nodes of the zone if there are at least two, otherwise all
	 */
	public List<Address> callerAddressesFor(String zone, NodeReport own) {
		List<NodeReport> serving = new ArrayList<>(heard());
		serving.add(own);
		serving.removeIf((report) -> !report.serving());
		List<Address> near = serving.stream()
			.filter((report) -> report.zone().equals(zone))
			.map(NodeReport::callerAddress)
			.toList();
		return (near.size() > 1) ? near : serving.stream().map(NodeReport::callerAddress).toList();
	}

	/**
	 * Return the names of nodes that were silent for long enough to be taken as removed.
	 * @param removedMillis how long that is
	 * @return the names
	 */
	public List<String> nodesSilentLongerThan(long removedMillis) {
		return this.byName.entrySet()
			.stream()
			.filter((entry) -> this.nowMillis - entry.getValue().atMillis > removedMillis)
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Return whether every node that is not forgotten reported since a time.
	 * @param sinceMillis the time
	 * @return {@code true} if no report is older
	 */
	public boolean allReportedSince(long sinceMillis) {
		return this.byName.values().stream().allMatch((heard) -> heard.atMillis >= sinceMillis);
	}

	/**
	 * Add up the requests that servers began in a window, of all runs of all nodes.
	 * @param window the number of the window
	 * @param own the counts of this run
	 * @return requests by account
	 */
	public Map<String, Long> usageInWindow(long window, UsageCounts own) {
		Map<String, Long> sum = new HashMap<>(own.countsOf(window));
		this.usage.values()
			.forEach((counts) -> counts.countsOf(window)
				.forEach((account, requests) -> sum.merge(account, requests, Long::sum)));
		return sum;
	}

	/**
	 * Count silent nodes too until they are forgotten, so that a node that hears nothing
	 * doesn't take the whole fleet's share.
	 */
	@Override
	public int nodes() {
		return this.byName.size() + 1;
	}

	@Override
	public double othersPerSecond(String account) {
		double sum = 0;
		for (Heard each : this.byName.values()) {
			sum += each.report.demandPerSecond().getOrDefault(account, 0L);
		}
		return sum;
	}

	private record Heard(NodeReport report, long atMillis) {
	}

}
