package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.List;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.store.RecordStore;

/**
 * The newest timeline of the store that this node knows of, whether the store itself or
 * another node has shown it. Used on the event loop only.
 */
final class KnownTimeline {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final List<Runnable> changeListeners = new ArrayList<>();

	private long number = RecordStore.UNNUMBERED_TIMELINE;

	/**
	 * Add a listener for changes.
	 * @param listener runs after each change, before any answer of the new timeline is
	 * passed on
	 */
	void whenChanged(Runnable listener) {
		this.changeListeners.add(listener);
	}

	/**
	 * Learn a timeline. An earlier one than is known changes nothing, nor does one that
	 * returns of the store don't explain.
	 * @param learned the number of the timeline
	 */
	void learn(long learned) {
		if (RecordStore.isLaterTimeline(this.number, learned)) {
			logger.atInfo()
				.log("%s", LogLine.of("store timeline learnt").with("from", this.number).with("to", learned));
			this.number = learned;
			this.changeListeners.forEach(Runnable::run);
		}
	}

	/**
	 * Return whether the store has returned since it showed a timeline.
	 * @param shown the number of the timeline
	 * @return {@code true} if a later one is known
	 */
	boolean isPast(long shown) {
		return shown < this.number;
	}

	long number() {
		return this.number;
	}

}
