package io.flamingogap.daemon.cloud;

import java.time.Clock;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArraySet;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.daemon.backends.BackendServers;
import io.flamingogap.daemon.cloud.CloudClient.Instance;
import io.flamingogap.daemon.cloud.CloudClient.Notice;
import io.flamingogap.daemon.tasks.PeriodicTask;

/**
 * Poller of reclaim notices and of the instance list. It marks leaving backend servers
 * and passes on notices for this node's own instance.
 */
public final class CloudWatcher implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The instance list is read with one in this many polls of the notices, because it
	 * lags and is longer.
	 */
	private static final int POLLS_PER_INSTANCE_LIST = 4;

	private final CloudClient cloud;

	private final BackendServers servers;

	private final String ownInstance;

	private final Clock clock;

	private final Consumer<Notice> onOwnNotice;

	private final Set<String> seedAddresses = new CopyOnWriteArraySet<>();

	private final Set<String> handledNotices = new HashSet<>();

	private long pollCount;

	private final PeriodicTask task;

	/**
	 * Create a watcher. It polls after {@link #start()}.
	 * @param cloud the client of the cloud's API
	 * @param servers the backend servers, in which leaving ones are marked
	 * @param ownInstance the name of the instance that runs this node
	 * @param pollMillis the time between two polls of the notices
	 * @param clock the clock of this node
	 * @param onOwnNotice called once for each notice for this node's instance
	 */
	public CloudWatcher(CloudClient cloud, BackendServers servers, String ownInstance, long pollMillis, Clock clock,
			Consumer<Notice> onOwnNotice) {
		this.cloud = cloud;
		this.servers = servers;
		this.ownInstance = ownInstance;
		this.clock = clock;
		this.onOwnNotice = onOwnNotice;
		this.task = new PeriodicTask("cloud-watcher", () -> pollMillis, this::poll);
	}

	/**
	 * Start to poll.
	 */
	public void start() {
		this.task.start();
	}

	private void poll() {
		pollNotices();
		if (this.pollCount++ % POLLS_PER_INSTANCE_LIST == 0) {
			pollInstances();
		}
	}

	private void pollNotices() {
		Either<Failure, List<Notice>> notices = this.cloud.notices();
		for (Notice notice : notices.getOrElse(List.of())) {
			if (!notice.instance().equals(this.ownInstance)) {
				markLeaving(notice.instance(), "notice");
			}
			else if (this.handledNotices.add(notice.instance() + notice.reclaimAtMillis())) {
				this.onOwnNotice.accept(notice);
			}
		}
	}

	private void pollInstances() {
		Either<Failure, List<Instance>> instances = this.cloud.instances();
		for (Instance instance : instances.getOrElse(List.of())) {
			if (instance.isLeaving()) {
				markLeaving(instance.name(), "instance list");
			}
			if (!instance.nodeAddress().isEmpty()) {
				this.seedAddresses.add(instance.nodeAddress());
			}
		}
		if (instances.isRight()) {
			this.seedAddresses.retainAll(instances.get().stream().map(Instance::nodeAddress).toList());
		}
	}

	private void markLeaving(String instance, String source) {
		if (this.servers.markLeaving(instance, this.clock.millis())) {
			logger.atInfo().log("instance %s is leaving (source: %s)", instance, source);
		}
	}

	/**
	 * Return the node addresses of the entry instances on the instance list.
	 * @return the addresses as of the last list that could be read; empty if there is
	 * none
	 */
	public Set<String> seedAddresses() {
		return Set.copyOf(this.seedAddresses);
	}

	@Override
	public void close() {
		this.task.close();
	}

}
