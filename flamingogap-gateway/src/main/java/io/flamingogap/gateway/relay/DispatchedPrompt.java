package io.flamingogap.gateway.relay;

import io.flamingogap.core.servers.CacheOutcome;
import io.flamingogap.core.servers.ExpectedDelay;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.PromptCacheEstimate;
import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.ServerChoice;
import io.flamingogap.core.servers.ServicePace;

/**
 * Accounts for one dispatch in this node's estimates of a server: its open requests, the
 * prompt tokens that it has to read, and how fast it reads them.
 */
final class DispatchedPrompt {

	/**
	 * Share of a prompt that may be cached at the server without this node knowing, so
	 * that the time to the first token still tells how fast the server reads.
	 */
	private static final double MAX_SHARED_FRACTION = 0.3;

	private final ServerChoice choice;

	private final KnownServer server;

	private final PromptMetadata prompt;

	private final ServicePace pace;

	private final ServerLoadListener loadListener;

	private final long sentAtMillis;

	private final long unreadTokens;

	/** The last use of the prompt's shared prefix at the server before this one. */
	private final long lastUse;

	private final long unreadBefore;

	private final double slowness;

	/** Whether the request gets a slot at once, as far as is known. */
	private final boolean runAtOnce;

	/** Whether the server begins to read the prompt at once, as far as is known. */
	private final boolean readAtOnce;

	/**
	 * Whether the prompt no longer counts as unread at the server, because the server has
	 * begun to process the request or the dispatch has ended.
	 */
	private boolean released;

	private long startedAtMillis = -1;

	private long promptUse = PromptCacheEstimate.NO_USE;

	/**
	 * Create the account of a dispatch that isn't sent yet.
	 * @param choice the server and the delay that is expected there
	 * @param prompt the prompt; {@link PromptMetadata#NONE} for plain requests
	 * @param pace the usual speed of the service's servers, which is updated
	 * @param loadListener notified when the estimates change
	 * @param sentAtMillis the time of the dispatch on the monotonic clock
	 */
	DispatchedPrompt(ServerChoice choice, PromptMetadata prompt, ServicePace pace, ServerLoadListener loadListener,
			long sentAtMillis) {
		this.choice = choice;
		this.server = choice.server();
		this.prompt = prompt;
		this.pace = pace;
		this.loadListener = loadListener;
		this.sentAtMillis = sentAtMillis;
		this.unreadTokens = Math.max(0, prompt.promptTokens() - Math.round(choice.cachedTokens()));
		this.unreadBefore = this.server.load().estimateUnreadTokens(sentAtMillis);
		this.lastUse = this.server.promptCache().lastUse(prompt);
		this.slowness = this.server.slowness().factor(sentAtMillis);
		this.runAtOnce = this.server.load().estimateOpenRequests(sentAtMillis) < this.server.slots();
		this.readAtOnce = this.runAtOnce && this.unreadBefore == 0;
	}

	void recordSent() {
		this.server.load().recordSent(this.unreadTokens);
		this.loadListener.onLoadChanged(this.server);
		this.promptUse = this.server.promptCache().record(this.prompt);
	}

	/**
	 * Record that the server has begun to process the request, or that the dispatch has
	 * ended. Only the first call has an effect.
	 */
	void release() {
		if (!this.released) {
			this.released = true;
			this.server.load().recordPromptRead(this.unreadTokens);
			this.loadListener.onLoadChanged(this.server);
		}
	}

	boolean isReleased() {
		return this.released;
	}

	void recordEnd() {
		release();
		if (this.startedAtMillis < 0) {
			this.server.promptCache().withdraw(this.promptUse);
		}
		this.server.load().recordEnd();
		this.loadListener.onLoadChanged(this.server);
	}

	/**
	 * Record when the server sent the first token, and learn from it how fast the server
	 * reads and what it had cached.
	 * @param nowMillis the time of the first token on the monotonic clock
	 * @return whether the server had cached the shared prefix
	 */
	CacheOutcome recordFirstToken(long nowMillis) {
		this.startedAtMillis = nowMillis;
		long elapsedMillis = nowMillis - this.sentAtMillis;
		this.pace.predictionError().record(this.choice.delay().firstTokenMillis(), elapsedMillis);
		boolean fewShared = this.prompt.sharedTokens() <= this.unreadTokens * MAX_SHARED_FRACTION;
		if (this.readAtOnce && fewShared) {
			this.pace.promptSpeed().record(this.unreadTokens, elapsedMillis, nowMillis);
		}
		if (this.runAtOnce && fewShared && this.unreadBefore <= this.unreadTokens) {
			recordSlowness(elapsedMillis, nowMillis);
		}
		return recordCacheOutcome(elapsedMillis, nowMillis);
	}

	private CacheOutcome recordCacheOutcome(long elapsedMillis, long nowMillis) {
		if (!this.readAtOnce || this.prompt.sharedTokens() == 0) {
			return CacheOutcome.UNCLEAR;
		}
		double millisPerToken = this.slowness / this.pace.promptSpeed().tokensPerMilli(nowMillis);
		CacheOutcome outcome = CacheOutcome.of(this.choice, this.prompt.sharedTokens(), millisPerToken, elapsedMillis);
		if (outcome == CacheOutcome.UNCLEAR) {
			return outcome;
		}
		if (this.lastUse == PromptCacheEstimate.NO_USE) {
			this.pace.placementTrust().record(this.choice.placementRank(), outcome == CacheOutcome.HIT);
		}
		else {
			this.pace.placementTrust().recordSent(outcome == CacheOutcome.HIT);
			if (outcome == CacheOutcome.MISS) {
				this.server.promptCache().recordMiss(this.lastUse);
			}
		}
		return outcome;
	}

	/**
	 * Record that the server has answered the request in full, and learn from it for how
	 * long requests occupy a slot.
	 * @param nowMillis the end of the answer on the monotonic clock
	 */
	void recordAnswered(long nowMillis) {
		boolean isPlain = this.startedAtMillis < 0;
		if (isPlain && this.runAtOnce) {
			recordSlowness(nowMillis - this.sentAtMillis, nowMillis);
		}
		if (!isPlain || this.runAtOnce) {
			double wayMillis = isPlain ? this.choice.delay().wayMillis() : 0;
			long startMillis = isPlain ? this.sentAtMillis : this.startedAtMillis;
			this.pace.slotTime().record(nowMillis - startMillis - wayMillis);
		}
	}

	private void recordSlowness(long elapsedMillis, long nowMillis) {
		ExpectedDelay delay = this.choice.delay();
		this.server.slowness()
			.recordObservation(delay.atServerMillis() / this.slowness, elapsedMillis - delay.wayMillis(), nowMillis);
	}

}
