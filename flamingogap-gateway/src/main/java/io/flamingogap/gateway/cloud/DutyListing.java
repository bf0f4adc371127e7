package io.flamingogap.gateway.cloud;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.duty.DutyClaim;
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

	private static final String USAGE_KEY = "usage";

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
	 * Return the usage report that was stored last.
	 * @return the report; empty if there is none or it is unreadable
	 */
	Optional<UsageReportSchedule.Report> lastUsageReport() {
		return this.page.records()
			.stream()
			.filter((entry) -> entry.key().equals(USAGE_KEY))
			.findFirst()
			.flatMap(DutyListing::decodeUsage);
	}

	private static Optional<UsageReportSchedule.Report> decodeUsage(StoredRecord entry) {
		return ReportCodec.decodeUsageReport(entry.value().orElse(new byte[0]))
			.peekLeft((reason) -> logger.atWarning()
				.log("%s",
						LogLine.of("usage record unreadable")
							.with("reason", reason + " (record at offset " + entry.offset() + ")")))
			.map((decoded) -> new UsageReportSchedule.Report(decoded.getKey(), decoded.getValue()))
			.toJavaOptional();
	}

}
