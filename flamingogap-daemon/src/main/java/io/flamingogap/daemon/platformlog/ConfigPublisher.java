package io.flamingogap.daemon.platformlog;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.vavr.control.Either;

import io.flamingogap.core.config.ConfigRecord;
import io.flamingogap.core.config.ConfigVerdict;
import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.daemon.http.Exchanges;

/**
 * Publishes changes and finds out what became of them.
 */
public final class ConfigPublisher {

	private static final long LOOK_INTERVAL_MILLIS = 50;

	private static final int MAX_LOOKS = 60;

	private final PlatformLog log;

	private final Configuration configuration;

	private final ConfigFollower follower;

	/**
	 * Create a publisher.
	 * @param log the platform log
	 * @param configuration the configuration that the change is applied to
	 * @param follower reads the stream
	 */
	public ConfigPublisher(PlatformLog log, Configuration configuration, ConfigFollower follower) {
		this.log = log;
		this.configuration = configuration;
		this.follower = follower;
	}

	/**
	 * Publish a change. A change that is in the stream already is not appended again, so
	 * that a client may ask any node until it gets a verdict.
	 * @param change the change
	 * @return its verdict, or why there is none yet
	 */
	public Either<Failure, ConfigVerdict> publish(ConfigRecord change) {
		this.follower.readNow();
		Optional<ConfigVerdict> earlier = this.configuration.state().verdict(change.id());
		if (earlier.isPresent()) {
			return Either.right(earlier.get());
		}
		Either<Failure, Long> appended = this.log.append(PlatformLog.CONFIG_STREAM,
				new String(Exchanges.toJsonBytes(change), StandardCharsets.UTF_8));
		Optional<ConfigVerdict> verdict = awaitVerdict(change.id());
		if (verdict.isPresent()) {
			return Either.right(verdict.get());
		}
		return Either.left(appended.isLeft() ? appended.getLeft() : unread());
	}

	private Optional<ConfigVerdict> awaitVerdict(String id) {
		for (int look = 0; look < MAX_LOOKS; look++) {
			boolean read = this.follower.readNow();
			Optional<ConfigVerdict> verdict = this.configuration.state().verdict(id);
			if (verdict.isPresent() || !read) {
				return verdict;
			}
			try {
				Thread.sleep(LOOK_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return Optional.empty();
			}
		}
		return Optional.empty();
	}

	private static Failure unread() {
		return new Failure(ProblemType.LOG_UNAVAILABLE, Step.READ, "platform log", Execution.UNKNOWN,
				"the change was appended but can't be read back yet; ask again with the same id");
	}

}
