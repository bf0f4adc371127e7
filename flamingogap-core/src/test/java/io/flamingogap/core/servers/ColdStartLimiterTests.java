package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.servers.ColdStartLimiter.Permit;
import io.flamingogap.core.serving.ColdStart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of the limiter of one node, and of several that know each other.
 */
class ColdStartLimiterTests {

	private static final ColdStart TWO_PER_SECOND = new ColdStart(3_000, 2);

	private static final ServerRegistration SERVER = server("first", "z1");

	private final ColdStartLimiter limiter = new ColdStartLimiter("node-1", "z1");

	private long now;

	private static ServerRegistration server(String id, String zone) {
		return new ServerRegistration(id, "engine", Address.parse("10.0.0.1:80"), zone, "v1", 8, false, false, 1, 1);
	}

	@BeforeEach
	void settle() {
		pass(10_000);
	}

	private void pass(long millis) {
		pass(millis, Map.of());
	}

	private void pass(long millis, Map<String, String> members) {
		for (long end = this.now + millis; this.now < end; this.now += 250) {
			this.limiter.update(new ColdStartView(members, this.now, true, this.now), this.now);
		}
	}

	private Optional<Permit> trySend() {
		return this.limiter.trySend(SERVER, TWO_PER_SECOND, 0, this.now);
	}

	private boolean maySend(int rank) {
		return this.limiter.maySend(SERVER, TWO_PER_SECOND, rank, this.now);
	}

	@Test
	void onlyNodeSendsAtTheServersRate() {
		assertThat(trySend().isPresent(), is(true));
		assertThat(trySend().isPresent(), is(true));
		assertThat(trySend().isPresent(), is(false));
		pass(750);
		assertThat(trySend().isPresent(), is(false));
		pass(500);
		assertThat(trySend().isPresent(), is(true));
	}

	@Test
	void slowServerIsSentLessThanOneRequestInASecond() {
		ColdStart half = new ColdStart(3_000, 0.5);
		assertThat(this.limiter.trySend(SERVER, half, 0, this.now).isPresent(), is(true));
		pass(1_750);
		assertThat(this.limiter.trySend(SERVER, half, 0, this.now).isPresent(), is(false));
		pass(500);
		assertThat(this.limiter.trySend(SERVER, half, 0, this.now).isPresent(), is(true));
	}

	@Test
	void shareOfARequestThatDidNotReachTheServerIsFreeAgain() {
		Permit first = trySend().get();
		Permit second = trySend().get();
		this.limiter.giveBack(first);
		this.limiter.giveBack(first);
		this.limiter.giveBack(Permit.NOT_NEEDED);
		Permit third = trySend().get();
		assertThat(trySend().isPresent(), is(false));
		assertThat(third.share(), is(first.share()));
		assertThat(second.share() != third.share(), is(true));
	}

	@Test
	void moreUrgentRequestsGoFirst() {
		assertThat(maySend(3), is(true));
		for (int i = 0; i < 4; i++) {
			maySend(1);
		}
		assertThat(maySend(3), is(false));
		assertThat(maySend(1), is(true));
		assertThat(maySend(-5), is(true));
		pass(4_000);
		assertThat(maySend(3), is(true));
	}

	@Test
	void justStartedNodeWaits() {
		ColdStartLimiter started = new ColdStartLimiter("node-2", "z1");
		assertThat(started.trySend(SERVER, TWO_PER_SECOND, 0, this.now).isPresent(), is(false));
		long startedAt = this.now;
		for (; this.now < startedAt + ColdStartLimiter.SETTLE_MILLIS; this.now += 250) {
			started.update(new ColdStartView(Map.of(), this.now, true, this.now), this.now);
			assertThat(started.trySend(SERVER, TWO_PER_SECOND, 0, this.now).isPresent(), is(false));
		}
		started.update(new ColdStartView(Map.of(), this.now, true, this.now), this.now);
		assertThat(started.trySend(SERVER, TWO_PER_SECOND, 0, this.now).isPresent(), is(true));
	}

	@Test
	void nodeWithoutReportsOrARecentViewSendsNothing() {
		long cutAt = this.now;
		this.now += 250;
		this.limiter.update(new ColdStartView(Map.of(), cutAt - ColdStartLimiter.MAX_VIEW_AGE_MILLIS, true, this.now),
				this.now);
		assertThat(trySend().isPresent(), is(false));
		this.limiter.update(new ColdStartView(Map.of(), this.now, false, this.now), this.now);
		assertThat(trySend().isPresent(), is(false));
		this.limiter.update(new ColdStartView(Map.of(), this.now, true, ColdStartView.NEVER), this.now);
		assertThat(trySend().isPresent(), is(false));
		this.limiter.update(new ColdStartView(Map.of(), this.now, true, this.now), this.now);
		assertThat(trySend().isPresent(), is(false));
	}

	@Test
	void nodeWhoseReportsWereMissingForLongBeginsAnew() {
		long lastReport = this.now;
		for (int i = 0; i < 24; i++) {
			this.now += 250;
			this.limiter.update(new ColdStartView(Map.of(), this.now, true, lastReport), this.now);
		}
		assertThat(trySend().isPresent(), is(true));
		this.now += 250;
		this.limiter.update(new ColdStartView(Map.of(), this.now, true, this.now), this.now);
		assertThat(maySend(0), is(false));
		pass(ColdStartLimiter.SETTLE_MILLIS + 250);
		assertThat(maySend(0), is(true));
	}

	@Test
	void frozenNodeWaitsUntilItsViewIsNew() {
		this.now += 1_500;
		assertThat(trySend().isPresent(), is(false));
		this.limiter.update(new ColdStartView(Map.of(), this.now, true, this.now), this.now);
		assertThat(trySend().isPresent(), is(false));
		pass(ColdStartLimiter.INTERRUPTION_WAIT_MILLIS + 250);
		assertThat(trySend().isPresent(), is(true));
	}

	@Test
	void sharesOfALostMemberAreTakenOverLate() {
		Map<String, String> zones = new TreeMap<>(Map.of("node-2", "z1"));
		pass(500, zones);
		int withOther = countShares();
		assertThat(withOther, lessThanOrEqualTo(15));
		pass(ColdStartLimiter.SETTLE_MILLIS - 250);
		assertThat(countShares(), is(withOther));
		pass(750);
		assertThat(countShares(), is(16));
	}

	private int countShares() {
		ColdStart many = new ColdStart(3_000, 16);
		List<Permit> permits = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			this.limiter.trySend(SERVER, many, 0, this.now).ifPresent(permits::add);
		}
		permits.forEach(this.limiter::giveBack);
		return permits.size();
	}

	@Test
	void membersOfTheServersZoneShareItsRate() {
		Map<String, String> zones = Map.of("node-1", "z1", "node-2", "z1", "node-3", "z1", "node-4", "z2");
		List<ColdStartLimiter> limiters = new ArrayList<>();
		zones.forEach((node, zone) -> limiters.add(new ColdStartLimiter(node, zone)));
		for (long time = 0; time <= 8_000; time += 250) {
			for (ColdStartLimiter each : limiters) {
				each.update(new ColdStartView(zones, time, true, time), time);
			}
		}
		ColdStart eleven = new ColdStart(3_000, 11);
		for (String zone : List.of("z1", "z2", "z3")) {
			ServerRegistration server = server("server-of-" + zone, zone);
			List<Integer> sentByNode = new ArrayList<>();
			for (ColdStartLimiter each : limiters) {
				int sent = 0;
				for (int i = 0; i < 30; i++) {
					sent += each.trySend(server, eleven, 0, 8_000).isPresent() ? 1 : 0;
				}
				sentByNode.add(sent);
			}
			assertThat(sentByNode.toString(), sentByNode.stream().mapToInt(Integer::intValue).sum(), is(11));
			if (!zone.equals("z2")) {
				assertThat(sentByNode.toString(), (int) sentByNode.stream().filter((sent) -> sent > 0).count(),
						allOf(greaterThan(1), greaterThanOrEqualTo(2)));
			}
		}
	}

}
