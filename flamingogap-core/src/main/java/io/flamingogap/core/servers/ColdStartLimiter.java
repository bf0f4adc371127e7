package io.flamingogap.core.servers;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.serving.ColdStart;
import io.flamingogap.core.text.Digests;

/**
 * Decides whether this node may send a request to a cold server, so that all nodes
 * together send it no more than it tolerates.
 * <p>
 * The rate of a cold server is divided into shares of a whole number of requests per
 * second, mostly one. Each share belongs to one node, preferably of the server's zone, by
 * rendezvous hashing over the members, so nodes that know the same members agree without
 * messages. Nodes that know different members don't use a share at the same time, because
 * a node
 * <ul>
 * <li>uses its shares only while its view of the members is recent and its own reports
 * are accepted, that is, before others could take it for lost,
 * <li>begins only when its report has been accepted for longer than a view that is in use
 * can be old, and
 * <li>counts a member that has disappeared for as long.
 * </ul>
 * Not thread-safe.
 */
public final class ColdStartLimiter {

	/**
	 * The age of the view beyond which no share is used. Longer than the time between two
	 * answers of the store.
	 */
	static final long MAX_VIEW_AGE_MILLIS = 2_000;

	/**
	 * The age of the last accepted report beyond which no share is used. Shorter than the
	 * silence after which other nodes remove this one.
	 */
	static final long MAX_REPORT_AGE_MILLIS = 6_000;

	/**
	 * How long a change of the members takes to apply to the shares that are gained.
	 * Exceeds the age of a view in use, including the calls that delivered it, and a
	 * request interval of a share.
	 */
	static final long SETTLE_MILLIS = 6_500;

	/**
	 * An interruption of this node after which what arrives may have been sent long
	 * before.
	 */
	static final long MAX_INTERRUPTION_MILLIS = 1_000;

	/** Exceeds the time after which calls that were made before an interruption fail. */
	static final long INTERRUPTION_WAIT_MILLIS = 2_500;

	private static final int MAX_SHARES = 32;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Added to the time between two requests of a share, as they don't take equally long
	 * to arrive.
	 */
	private static final long ARRIVAL_MARGIN_MILLIS = 20;

	private static final int RANKS = 10;

	/** Time constant of the rate at which requests ask for a server. */
	private static final double DEMAND_MILLIS = 1_000;

	/** Servers that nobody asks for are forgotten after this time. */
	private static final long UNUSED_MILLIS = 60_000;

	private final String node;

	private final String zone;

	private final long nodeHash;

	private final Map<String, Candidate> candidates = new HashMap<>();

	private final Map<String, ServerShares> serverShares = new HashMap<>();

	private int viewNumber;

	private long updatedAtMillis;

	private long viewAsOfMillis;

	private long reportSubmittedAtMillis;

	private long blockedUntilMillis = Long.MIN_VALUE;

	private long settledAtMillis = Long.MAX_VALUE;

	private boolean started;

	/**
	 * Create a limiter that lets no request pass until it knows the members.
	 * @param node the name of this node
	 * @param zone the availability zone of this node
	 */
	public ColdStartLimiter(String node, String zone) {
		this.node = node;
		this.zone = zone;
		this.nodeHash = Digests.sha256First64Bits(node);
	}

	/**
	 * Update what is known of the members. To be called several times a second.
	 * @param view the members and how recently they and this node were confirmed
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void update(ColdStartView view, long nowMillis) {
		boolean interrupted = this.started && nowMillis - this.updatedAtMillis > MAX_INTERRUPTION_MILLIS;
		if (interrupted) {
			this.blockedUntilMillis = nowMillis + INTERRUPTION_WAIT_MILLIS;
			this.candidates.replaceAll((name, candidate) -> new Candidate(candidate.zone, candidate.hash, nowMillis));
		}
		this.started = true;
		this.updatedAtMillis = nowMillis;
		this.viewAsOfMillis = view.asOfMillis();
		updateOwnReport(view, nowMillis);
		updateCandidates(view, nowMillis);
		this.serverShares.values().removeIf((shares) -> nowMillis - shares.askedAtMillis > UNUSED_MILLIS);
	}

	private void updateOwnReport(ColdStartView view, long nowMillis) {
		boolean confirmed = view.serving() && nowMillis - view.reportSubmittedAtMillis() <= MAX_REPORT_AGE_MILLIS;
		boolean lapsed = view.reportSubmittedAtMillis() - this.reportSubmittedAtMillis > MAX_REPORT_AGE_MILLIS;
		this.reportSubmittedAtMillis = view.reportSubmittedAtMillis();
		if (!confirmed) {
			this.settledAtMillis = Long.MAX_VALUE;
		}
		else if (lapsed || this.settledAtMillis == Long.MAX_VALUE) {
			this.settledAtMillis = nowMillis + SETTLE_MILLIS;
		}
	}

	private void updateCandidates(ColdStartView view, long nowMillis) {
		boolean changed = false;
		for (Map.Entry<String, String> member : view.zonesByMember().entrySet()) {
			if (!member.getKey().equals(this.node)) {
				Candidate known = this.candidates.get(member.getKey());
				boolean isSame = known != null && known.zone.equals(member.getValue());
				changed |= !isSame;
				long hash = (known != null) ? known.hash : Digests.sha256First64Bits(member.getKey());
				this.candidates.put(member.getKey(), new Candidate(member.getValue(), hash, nowMillis));
			}
		}
		changed |= this.candidates.values()
			.removeIf((candidate) -> nowMillis - candidate.lastKnownAtMillis > SETTLE_MILLIS);
		if (changed) {
			this.viewNumber++;
		}
	}

	/**
	 * Return whether a request may be sent to a cold server, and count it as demand for
	 * the server.
	 * @param server the cold server
	 * @param coldStart what it tolerates
	 * @param rank the rank of the request; 0 is the most urgent
	 * @param nowMillis the current time of the monotonic clock
	 * @return {@code true} if a share of this node is free and not needed for more urgent
	 * requests
	 */
	public boolean maySend(ServerRegistration server, ColdStart coldStart, int rank, long nowMillis) {
		ServerShares shares = sharesOf(server, coldStart);
		shares.recordDemand(rank, nowMillis);
		return isAvailable(shares, rank, nowMillis);
	}

	/**
	 * Use a share for a request that is sent now.
	 * @param server the cold server
	 * @param coldStart what it tolerates
	 * @param rank the rank of the request; 0 is the most urgent
	 * @param nowMillis the current time of the monotonic clock
	 * @return the permit for the request; empty if it must not be sent
	 */
	public Optional<Permit> trySend(ServerRegistration server, ColdStart coldStart, int rank, long nowMillis) {
		ServerShares shares = sharesOf(server, coldStart);
		if (!isAvailable(shares, rank, nowMillis)) {
			return Optional.empty();
		}
		return Optional.of(shares.use(server.id(), nowMillis));
	}

	/**
	 * Give back the share of a request that the server didn't receive.
	 * @param permit the permit of the request
	 */
	public void giveBack(Permit permit) {
		ServerShares shares = this.serverShares.get(permit.serverId);
		if (shares != null && shares.freeAtMillis[permit.share] == permit.freeAtMillis) {
			shares.freeAtMillis[permit.share] = Long.MIN_VALUE;
		}
	}

	private boolean isAvailable(ServerShares shares, int rank, long nowMillis) {
		return isSettled(nowMillis) && shares.isFree(nowMillis) && !shares.isNeededAbove(rank, nowMillis);
	}

	private boolean isSettled(long nowMillis) {
		return this.started && nowMillis >= this.settledAtMillis && nowMillis >= this.blockedUntilMillis
				&& nowMillis - this.updatedAtMillis <= MAX_INTERRUPTION_MILLIS
				&& nowMillis - this.viewAsOfMillis <= MAX_VIEW_AGE_MILLIS
				&& nowMillis - this.reportSubmittedAtMillis <= MAX_REPORT_AGE_MILLIS;
	}

	private ServerShares sharesOf(ServerRegistration server, ColdStart coldStart) {
		ServerShares shares = this.serverShares.computeIfAbsent(server.id(), (id) -> new ServerShares());
		if (shares.viewNumber != this.viewNumber || !coldStart.equals(shares.coldStart)
				|| !server.zone().equals(shares.zone)) {
			shares.assign(server, coldStart);
		}
		return shares;
	}

	/**
	 * Return whether a share of a server belongs to this node.
	 * @param shareHash the hash of the server and the number of the share
	 * @param serverZone the zone of the server
	 * @return {@code false} if it belongs to another member
	 */
	private boolean isOwn(long shareHash, String serverZone) {
		boolean isOwnZone = this.zone.equals(serverZone);
		long ownWeight = weight(shareHash, this.nodeHash);
		for (Candidate candidate : this.candidates.values()) {
			boolean isCandidateZone = candidate.zone.equals(serverZone);
			if (isCandidateZone != isOwnZone) {
				if (isCandidateZone) {
					return false;
				}
			}
			else if (weight(shareHash, candidate.hash) >= ownWeight) {
				return false;
			}
		}
		return true;
	}

	private static long weight(long shareHash, long memberHash) {
		return new SplittableRandom(shareHash ^ memberHash).nextLong();
	}

	/**
	 * The permission to send one request.
	 *
	 * @param serverId the id of the server; empty if it isn't cold
	 * @param share the number of the share that the request uses
	 * @param freeAtMillis when the share is free again
	 */
	public record Permit(String serverId, int share, long freeAtMillis) {

		/** The permission to send a request to a server that isn't cold. */
		public static final Permit NOT_NEEDED = new Permit("", 0, 0);

	}

	private record Candidate(String zone, long hash, long lastKnownAtMillis) {
	}

	/**
	 * The shares of one server that belong to this node.
	 */
	private final class ServerShares {

		private final double[] demand = new double[RANKS];

		private final long[] freeAtMillis = new long[MAX_SHARES];

		private boolean[] own = new boolean[0];

		private int viewNumber = -1;

		private @Nullable ColdStart coldStart;

		private String zone = "";

		private double ownPerSecond;

		private long intervalMillis;

		private long askedAtMillis;

		ServerShares() {
			Arrays.fill(this.freeAtMillis, Long.MIN_VALUE);
		}

		private void assign(ServerRegistration server, ColdStart newColdStart) {
			double perSecond = newColdStart.requestsPerSecond();
			double perShare = Math.ceil(perSecond / MAX_SHARES);
			int count = (int) Math.max(1, perSecond / perShare);
			long serverHash = Digests.sha256First64Bits(server.id());
			this.own = new boolean[count];
			int ownCount = 0;
			for (int i = 0; i < count; i++) {
				this.own[i] = isOwn(serverHash + i, server.zone());
				if (this.own[i]) {
					ownCount++;
				}
			}
			this.intervalMillis = (long) Math.ceil(MILLIS_PER_SECOND / Math.min(perShare, perSecond))
					+ ARRIVAL_MARGIN_MILLIS;
			this.ownPerSecond = ownCount * MILLIS_PER_SECOND / this.intervalMillis;
			this.viewNumber = ColdStartLimiter.this.viewNumber;
			this.coldStart = newColdStart;
			this.zone = server.zone();
		}

		private int findFree(long nowMillis) {
			for (int i = 0; i < this.own.length; i++) {
				if (this.own[i] && nowMillis >= this.freeAtMillis[i]) {
					return i;
				}
			}
			return -1;
		}

		private boolean isFree(long nowMillis) {
			return findFree(nowMillis) >= 0;
		}

		private Permit use(String serverId, long nowMillis) {
			int free = findFree(nowMillis);
			this.freeAtMillis[free] = nowMillis + this.intervalMillis;
			return new Permit(serverId, free, this.freeAtMillis[free]);
		}

		private void recordDemand(int rank, long nowMillis) {
			double kept = Math.exp((this.askedAtMillis - nowMillis) / DEMAND_MILLIS);
			for (int i = 0; i < RANKS; i++) {
				this.demand[i] *= kept;
			}
			this.askedAtMillis = nowMillis;
			this.demand[Math.max(0, Math.min(RANKS - 1, rank))]++;
		}

		private boolean isNeededAbove(int rank, long nowMillis) {
			double moreUrgent = 0;
			for (int i = 0; i < Math.min(rank, RANKS); i++) {
				moreUrgent += this.demand[i];
			}
			double kept = Math.exp((this.askedAtMillis - nowMillis) / DEMAND_MILLIS);
			return moreUrgent > 0 && moreUrgent * kept >= this.ownPerSecond;
		}

	}

}
