package io.flamingogap.gateway.cloud;

import java.util.Comparator;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.duty.DutyClaim;
import io.flamingogap.gateway.cloud.UsageHistory.Certainty;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.node.ReportCodec;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoredRecord;

/**
 * What a node that claims the duties finds in their stream: the claims before it and the
 * usage report that was stored last.
 * <p>
 * Each timeline has a key of its own for claims. A claim of an earlier timeline that
 * takes effect late can't hide the newest one.
 */
final class DutyListing {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The key of claims that consist of the name of the holder only. */
	private static final String NAME_ONLY_CLAIM_KEY = "holder";

	private static final String CLAIM_KEY_PREFIX = "holder/";

	/** The key of the usage report that was stored last. */
	static final String USAGE_KEY = "usage";

	private final RecordStore.Page page;

	private DutyListing(RecordStore.Page page) {
		this.page = page;
	}

	/**
	 * Create a listing.
	 * @param page the newest record of each key
	 * @return the listing
	 */
	static DutyListing of(RecordStore.Page page) {
		return new DutyListing(page);
	}

	/**
	 * Return the key of the claims of a timeline.
	 * @param timeline the number of the timeline
	 * @return the key
	 */
	static String claimKey(long timeline) {
		return CLAIM_KEY_PREFIX + timeline;
	}

	/**
	 * Return whether any node has claimed the duties before.
	 * @return {@code true} if there is a claim of any timeline
	 */
	boolean hasClaim() {
		return claimRecords().findAny().isPresent();
	}

	/**
	 * Return the highest token of all claims.
	 * @return the token; empty if there is no claim
	 */
	OptionalLong highestToken() {
		return claimRecords().mapToLong(DutyListing::tokenOf).max();
	}

	private Stream<StoredRecord> claimRecords() {
		return this.page.records()
			.stream()
			.filter((entry) -> entry.key().equals(NAME_ONLY_CLAIM_KEY) || entry.key().startsWith(CLAIM_KEY_PREFIX));
	}

	private static long tokenOf(StoredRecord entry) {
		// The token of a claim without content is the end of the stream behind it.
		return decodeClaim(entry).map(DutyClaim::token).orElse(entry.offset() + 1);
	}

	private static Optional<DutyClaim> decodeClaim(StoredRecord entry) {
		if (entry.key().equals(NAME_ONLY_CLAIM_KEY)) {
			return Optional.empty();
		}
		return ReportCodec.decodeClaim(entry.value().orElse(new byte[0]))
			.peekLeft((reason) -> logger.atWarning()
				.log("%s",
						LogLine.of("duty claim unreadable")
							.with("key", entry.key())
							.with("offset", entry.offset())
							.with("reason", reason)))
			.toJavaOptional();
	}

	/**
	 * Return what the records tell about the usage reports of earlier holders.
	 * @param returnSeen whether the store has lost records since this node first heard
	 * from it
	 * @param shortened whether the stream is shorter than this node knew it
	 * @return the history
	 */
	UsageHistory usageHistory(boolean returnSeen, boolean shortened) {
		Optional<StoredRecord> usageRecord = this.page.records()
			.stream()
			.filter((entry) -> entry.key().equals(USAGE_KEY))
			.findFirst();
		Optional<ReportCodec.StoredUsage> usage = usageRecord.flatMap(DutyListing::decodeUsage);
		OptionalLong settledWindow = claimRecords().flatMap((entry) -> decodeClaim(entry).stream())
			.flatMapToLong((claim) -> claim.settledWindow().stream())
			.max();
		return new UsageHistory(
				usage.map((stored) -> new UsageReportSchedule.Report(stored.window(), stored.requests())),
				settledWindow, shortened ? Certainty.STREAM_SHORTENED : certaintyOf(usageRecord, usage, returnSeen));
	}

	private Certainty certaintyOf(Optional<StoredRecord> usageRecord, Optional<ReportCodec.StoredUsage> usage,
			boolean returnSeen) {
		if (!hasClaim()) {
			return returnSeen ? Certainty.NO_CLAIM_AFTER_RETURN : Certainty.NO_CLAIM;
		}
		Optional<StoredRecord> lastClaim = claimRecords()
			.filter((entry) -> timelineKeys(this.page.timeline()).contains(entry.key()))
			.max(Comparator.comparingLong(StoredRecord::offset));
		if (lastClaim.isEmpty()) {
			return Certainty.EARLIER_TIMELINE;
		}
		Optional<DutyClaim> claim = decodeClaim(lastClaim.get());
		if (claim.isEmpty() && !lastClaim.get().key().equals(NAME_ONLY_CLAIM_KEY)) {
			return Certainty.UNREADABLE;
		}
		if (usageRecord.isEmpty()) {
			return Certainty.CERTAIN;
		}
		if (usage.isEmpty()) {
			return Certainty.UNREADABLE;
		}
		boolean isOfLastHolder = usage.get().token().equals(tokenIn(claim));
		return (usageRecord.get().offset() < lastClaim.get().offset() || isOfLastHolder) ? Certainty.CERTAIN
				: Certainty.LATE_REPORT;
	}

	private static Set<String> timelineKeys(long timeline) {
		return (timeline == RecordStore.UNNUMBERED_TIMELINE) ? Set.of(NAME_ONLY_CLAIM_KEY, claimKey(timeline))
				: Set.of(claimKey(timeline));
	}

	private static OptionalLong tokenIn(Optional<DutyClaim> claim) {
		return claim.map((present) -> OptionalLong.of(present.token())).orElse(OptionalLong.empty());
	}

	private static Optional<ReportCodec.StoredUsage> decodeUsage(StoredRecord entry) {
		return ReportCodec.decodeUsageReport(entry.value().orElse(new byte[0]))
			.peekLeft((reason) -> logger.atWarning()
				.log("%s",
						LogLine.of("usage record unreadable")
							.with("reason", reason + " (record at offset " + entry.offset() + ")")))
			.toJavaOptional();
	}

}
