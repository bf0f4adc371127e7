package io.flamingogap.gateway.node;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;

import io.flamingogap.core.servers.ColdServers;
import io.flamingogap.core.servers.RegistrationOutcome;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.relay.RelayMetrics;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordFollower;
import io.flamingogap.gateway.store.RecordListener;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.store.UnnumberedReturns;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Follows the registrations of backend servers in the store and updates the table of
 * servers.
 */
public final class ServerRegistrationWatcher implements RecordListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause between reads, so that one read returns several registrations. */
	private static final long READ_PAUSE_MILLIS = 900;

	/**
	 * The time after a disruption of the store within which live servers register again.
	 * Until then, a removed registration doesn't prove that its server is gone.
	 */
	private static final long REREGISTRATION_GRACE_MILLIS = 2_500;

	private static final long EXPIRY_INTERVAL_MILLIS = 200;

	/**
	 * The longest time without an answer of the store within which it can't have returned
	 * from an earlier copy unnoticed: a copy lacks more than that.
	 */
	private static final long MAX_READ_GAP_MILLIS = 3_000;

	private final EventLoop loop;

	private final RecordCodec codec;

	private final ServerTable servers;

	private final ColdServers coldServers;

	private final RelayMetrics metrics;

	private final NodeClock clock;

	private final Runnable readinessListener;

	private final RecordFollower follower;

	/**
	 * Create a watcher that isn't started.
	 * @param loop the event loop that all work runs on
	 * @param store the store to read from
	 * @param codec decodes registrations
	 * @param servers the table to update
	 * @param coldServers learns which servers are cold
	 * @param metrics counts values that can't be read
	 * @param clock the clocks of this process
	 * @param readinessListener runs when what the node serves callers with may have
	 * become complete
	 * @param unnumberedReturns tells of returns of the store that another stream shows
	 */
	public ServerRegistrationWatcher(EventLoop loop, RecordStore store, RecordCodec codec, ServerTable servers,
			ColdServers coldServers, RelayMetrics metrics, NodeClock clock, Runnable readinessListener,
			UnnumberedReturns unnumberedReturns) {
		this.loop = loop;
		this.codec = codec;
		this.servers = servers;
		this.coldServers = coldServers;
		this.metrics = metrics;
		this.clock = clock;
		this.readinessListener = readinessListener;
		this.follower = new RecordFollower(loop, store, StoreStream.SERVERS, READ_PAUSE_MILLIS, this,
				clock::steadyMillis, unnumberedReturns)
			.listingAfterGaps(MAX_READ_GAP_MILLIS);
	}

	/**
	 * Start following the registrations and removing expired servers.
	 */
	public void start() {
		this.follower.start();
		this.loop.scheduleWithFixedDelay(LoggedTask.of("registrations", this::removeExpired), EXPIRY_INTERVAL_MILLIS,
				EXPIRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Return whether all registrations were read at least once.
	 * @return {@code true} after the first complete listing
	 */
	public boolean hasCompletedListing() {
		return this.follower.hasCompletedListing();
	}

	/**
	 * Return when the store last confirmed the registrations, directly or through another
	 * node.
	 * @return the time in milliseconds of the monotonic clock; 0 before the first read
	 */
	public long lastContactAtMillis() {
		return this.follower.lastContactAtMillis();
	}

	private void removeExpired() {
		this.coldServers.retain((id) -> this.servers.find(id).isPresent());
		this.servers.expire(this.clock.steadyMillis())
			.forEach((id) -> logger.atInfo()
				.log("%s",
						LogLine.of("server gone")
							.with("server", id)
							.with("reason", "no new registration within " + REREGISTRATION_GRACE_MILLIS
									+ " ms after a disruption of the store")));
	}

	/**
	 * Return the time until which a server whose registration is removed stays in the
	 * table as a suspect, unless it is draining.
	 * @return the time on the monotonic clock; in the past if the removal applies at once
	 */
	private long suspectUntilMillis() {
		return this.follower.lastDisruptionAtMillis() + REREGISTRATION_GRACE_MILLIS;
	}

	@Override
	public void onRecord(StoredRecord entry) {
		if (entry.value().isEmpty()) {
			if (this.servers.unregister(entry.key(), entry.offset(), suspectUntilMillis(), this.clock.steadyMillis())) {
				logger.atInfo()
					.log("%s",
							LogLine.of("server registration ended")
								.with("server", entry.key())
								.with("offset", entry.offset())
								.with("doubtedMillis", Math.max(0, suspectUntilMillis() - this.clock.steadyMillis())));
			}
			return;
		}
		Either<String, ServerRegistration> server = this.codec.decodeServer(entry.key(), entry.value().get());
		if (server.isLeft()) {
			logger.atWarning()
				.log("%s",
						LogLine.of("registration unreadable")
							.with("server", entry.key())
							.with("reason", "record at offset " + entry.offset() + " is ignored: " + server.getLeft()));
		}
		else {
			RegistrationOutcome outcome = this.servers.register(server.get(), entry.offset());
			logOutcome(server.get(), entry.offset(), outcome);
			if (outcome == RegistrationOutcome.REFRESHED || outcome == RegistrationOutcome.CHANGED) {
				recordColdTime(server.get());
			}
		}
	}

	private void recordColdTime(ServerRegistration server) {
		String unreadable = server.remainingColdTime().unreadable();
		if (!unreadable.isEmpty()) {
			this.metrics.increment("cold.unreadable");
		}
		if (this.coldServers.record(server, this.follower.hasCompletedListing(), this.clock.steadyMillis())) {
			logger.atInfo()
				.log("%s",
						LogLine.of("server cold")
							.with("server", server.id())
							.with("service", server.service())
							.with("zone", server.zone())
							.with("remainingMillis", server.remainingColdTime().millis().orElse(-1))
							.with("unreadable", unreadable));
		}
	}

	private void logOutcome(ServerRegistration server, long offset, RegistrationOutcome outcome) {
		if (outcome == RegistrationOutcome.CHANGED || outcome == RegistrationOutcome.OUTDATED) {
			logger.atInfo()
				.log("%s", LogLine
					.of((outcome == RegistrationOutcome.CHANGED) ? "server registered" : "registration outdated")
					.with("server", server.id())
					.with("service", server.service())
					.with("address", server.address().toString())
					.with("zone", server.zone())
					.with("version", server.version())
					.with("draining", server.draining())
					.with("reclaimable", server.reclaimable())
					.with("startedAtMillis", server.startedAtMillis())
					.with("sequence", server.sequence())
					.with("offset", offset)
					.with("storeAgeMillis", this.clock.steadyMillis() - lastContactAtMillis()));
		}
	}

	@Override
	public void onListed(Set<String> keys, long endOffset) {
		this.servers.retain(keys, endOffset, suspectUntilMillis(), this.clock.steadyMillis());
		logger.atInfo().log("%s", LogLine.of("servers listed").with("servers", keys.size()).with("offset", endOffset));
		this.readinessListener.run();
	}

	@Override
	public void onStoreRestored() {
		this.metrics.increment("store.restored");
		this.servers.forgetOffsets();
	}

}
