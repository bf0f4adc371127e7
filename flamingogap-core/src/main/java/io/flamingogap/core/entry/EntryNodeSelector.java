package io.flamingogap.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.request.RequestKey;

/**
 * Selects the entry nodes that a caller is directed to.
 */
public final class EntryNodeSelector {

	private EntryNodeSelector() {
	}

	/**
	 * Choose nodes for one caller among the serving nodes. Consecutive nodes are in
	 * different zones as far as possible, so that the caller still reaches a node after
	 * the loss of a zone. The first zone and node rotate from call to call, so that
	 * callers spread over all nodes.
	 * @param members all rows of the membership table
	 * @param callNumber the number of the call, which increases by one from call to call
	 * @param count the maximum number of nodes
	 * @param nowMillis the current time in milliseconds since 1970 UTC, which becomes the
	 * issue time of the key prefixes
	 * @return the nodes, in the order in which the caller should try them; empty if no
	 * node serves
	 */
	public static List<EntryEndpoint> choose(List<Member> members, long callNumber, int count, long nowMillis) {
		Map<String, List<Member>> byZone = new LinkedHashMap<>();
		members.stream()
			.filter(Member::isServing)
			.sorted(Comparator.comparing(Member::zone))
			.forEach((member) -> byZone.computeIfAbsent(member.zone(), (zone) -> new ArrayList<>()).add(member));
		List<Member> ordered = interleaveZones(List.copyOf(byZone.values()), callNumber);
		return ordered.stream().limit(count).map((member) -> endpoint(member, nowMillis)).toList();
	}

	private static List<Member> interleaveZones(List<List<Member>> zones, long callNumber) {
		List<Member> ordered = new ArrayList<>();
		int total = zones.stream().mapToInt(List::size).sum();
		for (int round = 0; ordered.size() < total; round++) {
			for (int i = 0; i < zones.size(); i++) {
				List<Member> zone = zones.get((int) Math.floorMod(callNumber + i, (long) zones.size()));
				if (round < zone.size()) {
					long start = Math.floorDiv(callNumber, (long) zones.size());
					ordered.add(zone.get((int) Math.floorMod(start + round, (long) zone.size())));
				}
			}
		}
		return ordered;
	}

	private static EntryEndpoint endpoint(Member member, long nowMillis) {
		return new EntryEndpoint(member.callerAddress(), member.zone(), RequestKey.prefix(member.node(), nowMillis));
	}

}
