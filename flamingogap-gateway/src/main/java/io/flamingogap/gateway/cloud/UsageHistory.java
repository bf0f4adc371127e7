package io.flamingogap.gateway.cloud;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the store shows to a node that claims the duties about the usage reports of the
 * holders before it.
 *
 * @param lastReport the report that was stored last; it may not have been sent
 * @param settledWindow the newest window that a claim names as settled: it and the ones
 * before it are reported or left out
 * @param certainty whether other reports may have been sent
 */
record UsageHistory(Optional<UsageReportSchedule.Report> lastReport, OptionalLong settledWindow, Certainty certainty) {

	/**
	 * Whether the records show each report that may have been sent.
	 */
	enum Certainty {

		/** No report was sent that the records don't show. */
		CERTAIN {
			@Override
			OptionalLong uncertainUntilMillis(long heardSinceMillis, long timeOfDayMillis) {
				return OptionalLong.empty();
			}
		},

		/**
		 * No node has claimed the duties since this node first heard from the store.
		 * Whether one did before isn't known.
		 */
		NO_CLAIM {
			@Override
			OptionalLong uncertainUntilMillis(long heardSinceMillis, long timeOfDayMillis) {
				return OptionalLong.of(heardSinceMillis);
			}
		},

		/** The store has no claim, but it has lost records. */
		NO_CLAIM_AFTER_RETURN,

		/** The store has lost records since the last claim. */
		EARLIER_TIMELINE,

		/** A stream of the store is shorter than this node knew it. */
		STREAM_SHORTENED,

		/** An earlier holder's report was stored after a later claim. */
		LATE_REPORT,

		/** The last claim or report can't be decoded. */
		UNREADABLE;

		/**
		 * Return until when reports may have been sent that the records don't show.
		 * @param heardSinceMillis the corrected time of day at which this node first
		 * heard from the store, in milliseconds since 1970 UTC
		 * @param timeOfDayMillis the corrected time of day in milliseconds since 1970 UTC
		 * @return the time in milliseconds since 1970 UTC; empty if the records show all
		 */
		OptionalLong uncertainUntilMillis(long heardSinceMillis, long timeOfDayMillis) {
			return OptionalLong.of(timeOfDayMillis);
		}

	}

}
