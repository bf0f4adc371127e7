package io.flamingogap.gateway.node;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;

import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordFollower;
import io.flamingogap.gateway.store.RecordListener;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Keeps the table of backend servers in step with their registrations.
 */
public final class ServerRegistrationWatcher implements RecordListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause between reads, so that registrations of several servers come at once. */
	private static final long READ_PAUSE_MILLIS = 900;

	/** Servers that live register again within this time after the store has returned. */
	private static final long DOUBT_MILLIS = 2_500;

	private static final long EXPIRE_EACH_MILLIS = 200;

	private final EventLoop loop;

	private final RecordCodec codec;

	private final ServerTable servers;

	private final NodeClock clock;

	private final RecordFollower follower;

	/**
	 * Create a watch.
	 * @param loop the event loop
	 * @param store the store
	 * @param codec reads registrations
	 * @param servers the table to keep
	 * @param clock tells the present time
	 */
	public ServerRegistrationWatcher(EventLoop loop, RecordStore store, RecordCodec codec, ServerTable servers,
			NodeClock clock) {
		this.loop = loop;
		this.codec = codec;
		this.servers = servers;
		this.clock = clock;
		this.follower = new RecordFollower(loop, store, StoreStream.SERVERS, READ_PAUSE_MILLIS, this,
				clock::steadyMillis);
	}

	/**
	 * Begin to follow.
	 */
	public void start() {
		this.follower.start();
		this.loop.scheduleWithFixedDelay(this::expire, EXPIRE_EACH_MILLIS, EXPIRE_EACH_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Return whether all registrations were read once.
	 * @return {@code true} after the first listing
	 */
	public boolean hasCompletedListing() {
		return this.follower.hasCompletedListing();
	}

	/**
	 * Return when the store last answered.
	 * @return the time
	 */
	public long lastContactAtMillis() {
		return this.follower.lastContactAtMillis();
	}

	private void expire() {
		this.servers.expire(this.clock.steadyMillis())
			.forEach((id) -> logger.atInfo()
				.log("%s", LogLine.of("server gone").with("server", id).with("reason", "not registered again")));
	}

	private long doubtUntilMillis() {
		return this.follower.lastDisruptionAtMillis() + DOUBT_MILLIS;
	}

	@Override
	public void onRecord(StoredRecord entry) {
		if (entry.value().isEmpty()) {
			if (this.servers.unregister(entry.key(), entry.offset(), doubtUntilMillis(), this.clock.steadyMillis())) {
				logger.atInfo()
					.log("%s",
							LogLine.of("server registration ended")
								.with("server", entry.key())
								.with("offset", entry.offset())
								.with("doubted", doubtUntilMillis() > this.clock.steadyMillis()));
			}
			return;
		}
		Either<String, ServerRegistration> server = this.codec.readServer(entry.key(), entry.value().get());
		if (server.isLeft()) {
			logger.atWarning()
				.log("%s",
						LogLine.of("registration unreadable")
							.with("server", entry.key())
							.with("reason", server.getLeft()));
		}
		else if (this.servers.register(server.get(), entry.offset())) {
			logger.atInfo()
				.log("%s",
						LogLine.of("server registered")
							.with("server", entry.key())
							.with("service", server.get().service())
							.with("address", server.get().address().toString())
							.with("zone", server.get().zone())
							.with("version", server.get().version())
							.with("draining", server.get().draining())
							.with("reclaimable", server.get().reclaimable())
							.with("offset", entry.offset()));
		}
	}

	@Override
	public void onListed(Set<String> keys, long end) {
		this.servers.retain(keys, end, doubtUntilMillis(), this.clock.steadyMillis());
		logger.atInfo().log("%s", LogLine.of("servers listed").with("servers", keys.size()).with("offset", end));
	}

}
