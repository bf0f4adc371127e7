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
 * Looks at notices and at the instance list at an interval, marks leaving backend servers
 * and tells the node of its own reclaim.
 */
public final class CloudWatcher implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The instance list lags and is longer, so it is read less often than the notices.
	 */
	private static final int NOTICE_LOOKS_PER_LIST = 4;

	private final CloudClient cloud;

	private final BackendServers servers;

	private final String ownInstance;

	private final Clock clock;

	private final Consumer<Notice> onOwnNotice;

	private final Set<String> seedAddresses = new CopyOnWriteArraySet<>();

	private final Set<String> noticed = new HashSet<>();

	private long looks;

	private final PeriodicTask task;

	/**
	 * Create a watcher; it looks after {@link #start()}.
	 * @param cloud the cloud
	 * @param servers where leaving backend servers are marked
	 * @param ownInstance the name of this node's instance
	 * @param pollMillis the time between two looks
	 * @param clock tells the present time
	 * @param onOwnNotice told of notices to this node's instance
	 */
	public CloudWatcher(CloudClient cloud, BackendServers servers, String ownInstance, long pollMillis, Clock clock,
			Consumer<Notice> onOwnNotice) {
		this.cloud = cloud;
		this.servers = servers;
		this.ownInstance = ownInstance;
		this.clock = clock;
		this.onOwnNotice = onOwnNotice;
		this.task = new PeriodicTask("cloud-watcher", () -> pollMillis, this::look);
	}

	/**
	 * Begin to look.
	 */
	public void start() {
		this.task.start();
	}

	private void look() {
		lookAtNotices();
		if (this.looks++ % NOTICE_LOOKS_PER_LIST == 0) {
			lookAtInstances();
		}
	}

	private void lookAtNotices() {
		Either<Failure, List<Notice>> notices = this.cloud.notices();
		for (Notice notice : notices.getOrElse(List.of())) {
			if (!notice.instance().equals(this.ownInstance)) {
				markLeaving(notice.instance(), "notice");
			}
			else if (this.noticed.add(notice.instance() + notice.reclaimAtMillis())) {
				this.onOwnNotice.accept(notice);
			}
		}
	}

	private void lookAtInstances() {
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
			logger.atInfo().log("instance %s is leaving by %s", instance, source);
		}
	}

	/**
	 * Return the node addresses of entry instances on the list.
	 * @return the addresses
	 */
	public Set<String> seedAddresses() {
		return Set.copyOf(this.seedAddresses);
	}

	@Override
	public void close() {
		this.task.close();
	}

}
