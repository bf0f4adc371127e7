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
 * Publisher of configuration changes that waits for the verdict on each change.
 */
public final class ConfigPublisher {

	private static final long VERDICT_POLL_MILLIS = 50;

	private static final int MAX_VERDICT_POLLS = 60;

	private final PlatformLogClient log;

	private final Configuration configuration;

	private final ConfigFollower follower;

	/**
	 * Create a publisher.
	 * @param log the client of the platform log
	 * @param configuration the configuration that holds the verdicts
	 * @param follower the reader that applies published changes to the configuration
	 */
	public ConfigPublisher(PlatformLogClient log, Configuration configuration, ConfigFollower follower) {
		this.log = log;
		this.configuration = configuration;
		this.follower = follower;
	}

	/**
	 * Publish a change. A change that already has a verdict is not appended again, so a
	 * client can retry at any node until it gets a verdict.
	 * @param change the change
	 * @return the verdict, or why there is none yet
	 */
	public Either<Failure, ConfigVerdict> publish(ConfigRecord change) {
		this.follower.readNow();
		Optional<ConfigVerdict> existing = this.configuration.state().verdict(change.id());
		if (existing.isPresent()) {
			return Either.right(existing.get());
		}
		Either<Failure, Long> appended = this.log.append(PlatformLogClient.CONFIG_STREAM,
				new String(Exchanges.toJsonBytes(change), StandardCharsets.UTF_8));
		Optional<ConfigVerdict> verdict = awaitVerdict(change.id());
		if (verdict.isPresent()) {
			return Either.right(verdict.get());
		}
		return Either.left(appended.isLeft() ? appended.getLeft() : notReadBack());
	}

	private Optional<ConfigVerdict> awaitVerdict(String id) {
		for (int poll = 0; poll < MAX_VERDICT_POLLS; poll++) {
			boolean isLogRead = this.follower.readNow();
			Optional<ConfigVerdict> verdict = this.configuration.state().verdict(id);
			if (verdict.isPresent() || !isLogRead) {
				return verdict;
			}
			try {
				Thread.sleep(VERDICT_POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return Optional.empty();
			}
		}
		return Optional.empty();
	}

	private static Failure notReadBack() {
		return new Failure(ProblemType.LOG_UNAVAILABLE, Step.READ, "platform log", Execution.UNKNOWN,
				"the change was appended but can't be read back yet; ask again with the same id");
	}

}
