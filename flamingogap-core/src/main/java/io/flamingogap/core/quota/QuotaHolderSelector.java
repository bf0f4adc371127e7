package io.flamingogap.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;

import io.flamingogap.core.text.Digests;

/**
 * Selects the few nodes that hold the quota of an account, each an equal share. All nodes
 * that know the same members select the same holders, and a new or lost member changes
 * the holders of few accounts (rendezvous hashing). Holders are in different regions as
 * far as possible, then in different zones, so that most callers have one nearby and the
 * loss of a zone leaves the others.
 * <p>
 * Not thread-safe.
 */
public final class QuotaHolderSelector {

	/**
	 * Number of holders. A holder's share has to admit the largest requests, and the loss
	 * of one must leave most of a quota.
	 */
	static final int MAX_HOLDERS = 3;

	private final Map<String, Long> hashes = new HashMap<>();

	/**
	 * Select the holders of an account's quota.
	 * @param account the name of the account
	 * @param members all nodes that share the quotas
	 * @return the holders in an order that all nodes agree on; empty if there is no
	 * member
	 */
	public List<QuotaMember> select(String account, Collection<QuotaMember> members) {
		long accountHash = hash(account);
		List<QuotaMember> ranked = new ArrayList<>(members);
		Map<String, Long> weights = new HashMap<>();
		members.forEach((member) -> weights.put(member.node(), weight(accountHash, member.node())));
		ranked.sort(Comparator.comparing((QuotaMember member) -> weights.get(member.node()))
			.thenComparing(QuotaMember::node));
		List<QuotaMember> holders = new ArrayList<>();
		addFirstOfEach(QuotaMember::region, ranked, holders);
		addFirstOfEach(QuotaMember::zone, ranked, holders);
		addFirstOfEach(QuotaMember::node, ranked, holders);
		return holders;
	}

	private static void addFirstOfEach(Function<QuotaMember, String> place, List<QuotaMember> ranked,
			List<QuotaMember> holders) {
		Set<String> taken = new HashSet<>(holders.stream().map(place).toList());
		for (QuotaMember member : ranked) {
			if (holders.size() < MAX_HOLDERS && taken.add(place.apply(member))) {
				holders.add(member);
			}
		}
	}

	private long weight(long accountHash, String node) {
		return new SplittableRandom(accountHash ^ hash(node)).nextLong();
	}

	private long hash(String name) {
		return this.hashes.computeIfAbsent(name, Digests::sha256First64Bits);
	}

}
