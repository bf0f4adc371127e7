package io.flamingogap.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.flamingogap.core.duty.UsageCounts;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;

/**
 * The fleet of entry nodes as their reports describe it. A node without a recent report
 * isn't offered to callers, but the usage that it reported still counts.
 * <p>
 * Not thread-safe.
 */
public final class FleetView {

	/**
	 * Number of report intervals without a report after which a node counts as silent.
	 */
	private static final int MISSED_REPORTS = 3;

	private final Map<String, TimedReport> lastReports = new HashMap<>();

	private final Map<NodeId, UsageCounts> usage = new HashMap<>();

	private final NodeId self;

	private final Map<String, ReportAge> ages = new HashMap<>();

	private final long reportMillis;

	private final long silentAfterMillis;

	private long nowMillis;

	/**
	 * Create a view without other nodes.
	 * @param self the identity of this run of this node
	 * @param reportMillis the interval between two reports of a node, in milliseconds
	 */
	public FleetView(NodeId self, long reportMillis) {
		this.self = self;
		this.reportMillis = reportMillis;
		this.silentAfterMillis = reportMillis * MISSED_REPORTS;
	}

	/**
	 * Record a report that was just received. Callers are directed to its node by the
	 * time at which it was made, since the store may have accepted it late.
	 * @param report a report of any run of any node, which may be this node
	 * @param nowMillis the current time of the monotonic clock of this node, in
	 * milliseconds
	 */
	public void recordReceived(NodeReport report, long nowMillis) {
		record(report, nowMillis);
		TimedReport last = this.lastReports.get(report.node().name());
		if (last != null && last.report == report) {
			ReportAge age = this.ages.computeIfAbsent(report.node().name(), (name) -> new ReportAge(this.reportMillis));
			this.lastReports.put(report.node().name(),
					new TimedReport(report, nowMillis, nowMillis - age.estimateMillis(report, nowMillis)));
		}
	}

	/**
	 * Record a report. One that was written before the last known report of its node, but
	 * stored after it, counts only for the usage.
	 * @param report a report of any run of any node, which may be this node
	 * @param reportedAtMillis the time of the report by the monotonic clock of this node,
	 * in milliseconds
	 */
	public void record(NodeReport report, long reportedAtMillis) {
		if (!report.node().name().equals(this.self.name()) && !isOutdated(report)) {
			this.lastReports.put(report.node().name(), new TimedReport(report, reportedAtMillis, reportedAtMillis));
		}
		recordUsage(report);
	}

	/**
	 * Record only the usage of a report, which is of an earlier run of its node than the
	 * known one.
	 * @param report a report of any run of any node, which may be this node
	 */
	public void recordUsage(NodeReport report) {
		if (!report.node().equals(this.self)) {
			UsageCounts counts = this.usage.computeIfAbsent(report.node(), (node) -> new UsageCounts());
			report.usage().forEach(counts::merge);
		}
	}

	private boolean isOutdated(NodeReport report) {
		TimedReport last = this.lastReports.get(report.node().name());
		if (last == null) {
			return false;
		}
		if (!last.report.node().equals(report.node())) {
			// Runs whose usage is known have reported before the current one.
			return this.usage.containsKey(report.node());
		}
		return report.sequence() < last.report.sequence();
	}

	/**
	 * Return whether a report is of another run than the last known report of its node.
	 * @param report a report of any node
	 * @return {@code false} if there is no known report of the node
	 */
	public boolean isOfOtherRun(NodeReport report) {
		TimedReport last = this.lastReports.get(report.node().name());
		return last != null && !last.report.node().equals(report.node());
	}

	/**
	 * Return whether a report is of an earlier run of this node.
	 * @param report a report of any node
	 * @return {@code true} if it has this node's name and another incarnation
	 */
	public boolean isOfPreviousRun(NodeReport report) {
		return report.node().name().equals(this.self.name()) && !report.node().equals(this.self);
	}

	/**
	 * Set the current time, from which the age of the reports is measured.
	 * @param millis the current time of a monotonic clock, in milliseconds
	 */
	public void setCurrentTime(long millis) {
		this.nowMillis = millis;
	}

	/**
	 * Remove a node. The usage that it reported still counts.
	 * @param name the name of the node, which may be unknown
	 */
	public void forget(String name) {
		this.lastReports.remove(name);
		this.ages.remove(name);
	}

	private List<NodeReport> collectRecent() {
		List<NodeReport> recent = new ArrayList<>();
		for (TimedReport timed : this.lastReports.values()) {
			if (this.nowMillis - timed.reportedAtMillis <= this.silentAfterMillis) {
				recent.add(timed.report);
			}
		}
		return recent;
	}

	/**
	 * Return the last reports of the other nodes, without those of silent nodes.
	 * @return one report for each node
	 */
	public Collection<NodeReport> recentReports() {
		return collectRecent();
	}

	/**
	 * Return the addresses that callers of a zone should connect to.
	 * @param zone the callers' zone
	 * @param own the current report of this node
	 * @return the serving nodes of the zone if there are at least two, otherwise those of
	 * all zones
	 */
	public List<Address> callerAddressesFor(String zone, NodeReport own) {
		return callerAddressesFor(zone, own, (report) -> true);
	}

	/**
	 * Return the addresses that callers of a zone should connect to.
	 * @param zone the callers' zone
	 * @param own the current report of this node
	 * @param allowed accepts the nodes that callers may be directed to
	 * @return the allowed serving nodes of the zone if there are at least two, otherwise
	 * those of all zones
	 */
	public List<Address> callerAddressesFor(String zone, NodeReport own, Predicate<NodeReport> allowed) {
		List<NodeReport> serving = new ArrayList<>();
		this.lastReports.values()
			.stream()
			.filter((timed) -> this.nowMillis - timed.madeAtMillis <= this.silentAfterMillis)
			.forEach((timed) -> serving.add(timed.report));
		serving.add(own);
		serving.removeIf((report) -> !report.serving() || !allowed.test(report));
		List<Address> sameZone = serving.stream()
			.filter((report) -> report.zone().equals(zone))
			.map(NodeReport::callerAddress)
			.toList();
		return (sameZone.size() > 1) ? sameZone : serving.stream().map(NodeReport::callerAddress).toList();
	}

	/**
	 * Return the nodes whose last report is older than a time.
	 * @param silentMillis the time without a report, in milliseconds
	 * @return the names of the nodes
	 */
	public List<String> nodesSilentLongerThan(long silentMillis) {
		return this.lastReports.entrySet()
			.stream()
			.filter((entry) -> this.nowMillis - entry.getValue().reportedAtMillis > silentMillis)
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Return whether each known node has reported since a time.
	 * @param sinceMillis the time by a monotonic clock, in milliseconds
	 * @return {@code true} if no node's last report is older
	 */
	public boolean allReportedSince(long sinceMillis) {
		return this.lastReports.values().stream().allMatch((timed) -> timed.reportedAtMillis >= sinceMillis);
	}

	/**
	 * Sum up the requests that servers started to process in a window, over all runs of
	 * all nodes.
	 * @param window the number of the window
	 * @param own the counts of this run of this node
	 * @return the number of requests by account
	 */
	public Map<String, Long> usageInWindow(long window, UsageCounts own) {
		Map<String, Long> sum = new HashMap<>(own.countsOf(window));
		this.usage.values()
			.forEach((counts) -> counts.countsOf(window)
				.forEach((account, requests) -> sum.merge(account, requests, Long::sum)));
		return sum;
	}

	/**
	 * Return the number of known nodes. Silent ones count until they are removed.
	 * Otherwise a node that receives no reports would use what all nodes share.
	 * @return the count, including this node
	 */
	public int nodes() {
		return this.lastReports.size() + 1;
	}

	/**
	 * Return the last report of each known node but this one, silent or not.
	 * @return the reports in any order
	 */
	public List<NodeReport> knownReports() {
		return this.lastReports.values().stream().map(TimedReport::report).toList();
	}

	/**
	 * The last report of a node.
	 *
	 * @param report the report
	 * @param reportedAtMillis when it was received
	 * @param madeAtMillis when it was made, apart from the shortest delay of the node's
	 * reports
	 */
	private record TimedReport(NodeReport report, long reportedAtMillis, long madeAtMillis) {
	}

}
