package io.flamingogap.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.request.RequestKey;

/**
 * Chooses the entry nodes that a caller is told to use.
 */
public final class EntryNodeSelector {

	private EntryNodeSelector() {
	}

	/**
	 * Choose nodes for one caller. Zones take turns, so that the answer outlives the loss
	 * of a zone, and the ticket moves the start, so that callers spread over all nodes.
	 * @param members the membership table
	 * @param ticket a number that differs from answer to answer
	 * @param count the most nodes to name
	 * @param nowMillis the present time, which becomes the issue time of the prefixes
	 * @return the nodes, in the order in which the caller should try them
	 */
	public static List<EntryEndpoint> choose(List<Member> members, long ticket, int count, long nowMillis) {
		Map<String, List<Member>> byZone = new LinkedHashMap<>();
		members.stream()
			.filter(Member::isServing)
			.sorted(Comparator.comparing(Member::zone))
			.forEach((member) -> byZone.computeIfAbsent(member.zone(), (zone) -> new ArrayList<>()).add(member));
		List<Member> turns = takeTurns(List.copyOf(byZone.values()), ticket);
		return turns.stream().limit(count).map((member) -> point(member, nowMillis)).toList();
	}

	private static List<Member> takeTurns(List<List<Member>> zones, long ticket) {
		List<Member> turns = new ArrayList<>();
		int total = zones.stream().mapToInt(List::size).sum();
		for (int round = 0; turns.size() < total; round++) {
			for (int i = 0; i < zones.size(); i++) {
				List<Member> zone = zones.get((int) Math.floorMod(ticket + i, (long) zones.size()));
				if (round < zone.size()) {
					long start = Math.floorDiv(ticket, (long) zones.size());
					turns.add(zone.get((int) Math.floorMod(start + round, (long) zone.size())));
				}
			}
		}
		return turns;
	}

	private static EntryEndpoint point(Member member, long nowMillis) {
		return new EntryEndpoint(member.callerAddress(), member.zone(), RequestKey.prefix(member.node(), nowMillis));
	}

}
