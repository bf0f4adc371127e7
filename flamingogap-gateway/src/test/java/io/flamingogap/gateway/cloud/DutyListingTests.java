package io.flamingogap.gateway.cloud;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.duty.DutyClaim;
import io.flamingogap.gateway.cloud.UsageHistory.Certainty;
import io.flamingogap.gateway.node.ReportCodec;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoredRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link DutyListing}: which records prove that no other usage report was sent.
 */
class DutyListingTests {

	private static final long WINDOW = 1_000;

	private final List<StoredRecord> records = new ArrayList<>();

	private void claim(long timeline, long token, long settledWindow, long offset) {
		this.records
			.add(new StoredRecord(DutyListing.claimKey(timeline),
					Optional.of(ReportCodec
						.encodeClaim(new DutyClaim("node-1", token, timeline, OptionalLong.of(settledWindow)))),
					offset));
	}

	private void nameOnlyClaim(long offset) {
		this.records.add(new StoredRecord("holder", Optional.of("front-1".getBytes(StandardCharsets.UTF_8)), offset));
	}

	private void usage(OptionalLong token, long timeline, long offset) {
		this.records.add(new StoredRecord(DutyListing.USAGE_KEY,
				Optional.of(ReportCodec
					.encodeUsageReport(new ReportCodec.StoredUsage(WINDOW, Map.of("growers", 7L), token, timeline))),
				offset));
	}

	private DutyListing listing(long timeline) {
		return DutyListing.of(new RecordStore.Page(this.records, false, 100, timeline));
	}

	private Certainty certainty(long timeline) {
		return listing(timeline).usageHistory(false, false).certainty();
	}

	@Test
	void emptyStreamProvesNothingOnceTheStoreHasReturned() {
		assertThat(listing(4).usageHistory(false, false).certainty(), is(Certainty.NO_CLAIM));
		assertThat(listing(4).usageHistory(true, false).certainty(), is(Certainty.NO_CLAIM_AFTER_RETURN));
		assertThat(listing(4).hasClaim(), is(false));
	}

	@Test
	void reportsOfTheLastHolderAndBeforeItsClaimAreCertain() {
		claim(4, 70, WINDOW - 1, 5);
		usage(OptionalLong.of(69), 4, 3);
		assertThat(certainty(4), is(Certainty.CERTAIN));
		this.records.remove(1);
		usage(OptionalLong.of(70), 4, 6);
		assertThat(certainty(4), is(Certainty.CERTAIN));
		assertThat(listing(4).usageHistory(false, false).settledWindow(), is(OptionalLong.of(WINDOW - 1)));
		assertThat(listing(4).highestToken(), is(OptionalLong.of(70)));
	}

	// A claim of the timeline before, carried out late, hid the newest claim of this one.
	@Test
	void claimOfAnEarlierTimelineDoesNotHideTheNewestOne() {
		claim(4, 90, WINDOW, 5);
		claim(3, 70, WINDOW - 1, 8);
		usage(OptionalLong.of(90), 4, 6);
		assertThat(certainty(4), is(Certainty.CERTAIN));
		assertThat(listing(4).highestToken(), is(OptionalLong.of(90)));
		assertThat(listing(4).usageHistory(false, false).settledWindow(), is(OptionalLong.of(WINDOW)));
	}

	@Test
	void recordsAreUncertainUntilSomeNodeHasClaimedInTheTimeline() {
		claim(3, 70, WINDOW - 1, 5);
		usage(OptionalLong.of(70), 3, 6);
		assertThat(certainty(4), is(Certainty.EARLIER_TIMELINE));
	}

	// A report of an earlier holder, stored late behind the next claim, was taken for the
	// last one.
	@Test
	void reportThatAnEarlierHolderStoredBehindTheClaimIsLate() {
		claim(4, 90, WINDOW - 1, 5);
		usage(OptionalLong.of(70), 3, 6);
		assertThat(certainty(4), is(Certainty.LATE_REPORT));
	}

	@Test
	void shorterStreamIsUncertain() {
		claim(0, 90, WINDOW - 1, 5);
		assertThat(listing(0).usageHistory(false, true).certainty(), is(Certainty.STREAM_SHORTENED));
	}

	@Test
	void unreadableRecordsAreUncertain() {
		this.records
			.add(new StoredRecord(DutyListing.claimKey(4), Optional.of("?".getBytes(StandardCharsets.UTF_8)), 5));
		usage(OptionalLong.of(70), 4, 3);
		assertThat(certainty(4), is(Certainty.UNREADABLE));
		assertThat(listing(4).highestToken(), is(OptionalLong.of(6)));
	}

	// Otherwise a stored report that nobody can read counts as none.
	@Test
	void unreadableReportIsUncertain() {
		claim(4, 70, WINDOW - 1, 5);
		this.records.add(new StoredRecord(DutyListing.USAGE_KEY, Optional.of("?".getBytes(StandardCharsets.UTF_8)), 6));
		assertThat(certainty(4), is(Certainty.UNREADABLE));
	}

	// Otherwise windows are left out because no report was stored yet.
	@Test
	void claimWithoutAReportIsCertain() {
		claim(4, 70, WINDOW - 1, 5);
		assertThat(certainty(4), is(Certainty.CERTAIN));
	}

	// Otherwise each claim of a node that has seen a return leaves windows out.
	@Test
	void recordsOfTheTimelineAreCertainThoughTheStoreHasReturned() {
		claim(4, 70, WINDOW - 1, 5);
		usage(OptionalLong.of(70), 4, 6);
		assertThat(listing(4).usageHistory(true, false).certainty(), is(Certainty.CERTAIN));
	}

	// Otherwise the last claim of a node of the former release hides the ones after it.
	@Test
	void lastClaimDecidesWhicheverReleaseMadeIt() {
		nameOnlyClaim(5);
		claim(0, 90, WINDOW - 1, 8);
		usage(OptionalLong.empty(), 0, 9);
		assertThat(certainty(0), is(Certainty.LATE_REPORT));
		this.records.clear();
		claim(0, 90, WINDOW - 1, 5);
		nameOnlyClaim(8);
		usage(OptionalLong.of(90), 0, 9);
		assertThat(certainty(0), is(Certainty.LATE_REPORT));
	}

	@Test
	void recordsWithoutTokensAreTrustedInAStoreWithoutTimelines() {
		nameOnlyClaim(5);
		usage(OptionalLong.empty(), 0, 6);
		assertThat(certainty(0), is(Certainty.CERTAIN));
		assertThat(certainty(1), is(Certainty.EARLIER_TIMELINE));
		assertThat(listing(0).highestToken(), is(OptionalLong.of(6)));
	}

}
