package io.flamingogap.daemon.settings;

import java.util.List;

import io.flamingogap.core.toml.Default;
import io.flamingogap.core.toml.Range;
import io.flamingogap.core.toml.StringPattern;

/**
 * Settings of an entry node, as read from its settings file. Names of quantities end in
 * their unit.
 *
 * @param node the identity of the node
 * @param listen the addresses that the node listens on
 * @param nodes communication with other entry nodes
 * @param platform the platform's log and cloud API
 * @param callers limits for callers
 * @param requests limits and timeouts for keyed requests
 * @param operators the operator who may publish the first manifest
 * @param log the structured log
 */
public record Settings(Node node, Listen listen, Nodes nodes, Platform platform, Callers callers, Requests requests,
		Operators operators, Log log) {

	/**
	 * Identity of the node.
	 *
	 * @param name the name of the node's instance, as used in the cloud's reclaim notices
	 * @param zone the availability zone of the instance
	 */
	public record Node(@StringPattern(StringPattern.NAME) String name, @StringPattern(StringPattern.NAME) String zone) {
	}

	/**
	 * Addresses that the node listens on.
	 *
	 * @param callerAddress the address for callers and operators
	 * @param nodeAddress the address for other entry nodes
	 * @param adminAddress the address for health, readiness and metrics
	 * @param advertisedNodeAddress the address that other entry nodes connect to; empty
	 * if this is {@code nodeAddress}
	 */
	public record Listen(@StringPattern(StringPattern.ADDRESS) String callerAddress,
			@StringPattern(StringPattern.ADDRESS) String nodeAddress,
			@StringPattern(StringPattern.ADDRESS) String adminAddress,
			@Default("") @StringPattern("|" + StringPattern.ADDRESS) String advertisedNodeAddress) {

		/**
		 * Return the address that other entry nodes connect to.
		 * @return the IP address and port
		 */
		public String reachableNodeAddress() {
			return this.advertisedNodeAddress.isEmpty() ? this.nodeAddress : this.advertisedNodeAddress;
		}

	}

	/**
	 * Communication with other entry nodes.
	 *
	 * @param sharedSecret the secret that both nodes prove to know when a connection is
	 * opened
	 * @param seedAddresses the entry nodes to contact first
	 * @param fanOut the maximum number of neighbours to keep a connection with
	 * @param heartbeatMillis the interval between two heartbeats on a connection
	 * @param silentMillis the maximum time to wait for an answer on a connection
	 */
	public record Nodes(@StringPattern(".{16,256}") String sharedSecret,
			@Default("") @StringPattern(StringPattern.ADDRESS) List<String> seedAddresses,
			@Default("4") @Range(min = 1, max = 32) int fanOut,
			@Default("1000") @Range(min = 50, max = 60_000) long heartbeatMillis,
			@Default("2000") @Range(min = 100, max = 120_000) long silentMillis) {
	}

	/**
	 * Access to the platform.
	 *
	 * @param logAddress the address of the platform log
	 * @param cloudAddress the address of the cloud API
	 * @param cloudPollMillis the interval between two polls of notices and instances
	 * @param logTimeoutMillis the timeout of one call to the log
	 * @param logWaitMillis the maximum time for which a read waits for a new record
	 * @param snapshotMillis the time after which a change is followed by a snapshot in
	 * the log; must be well below the time for which the log retains records
	 */
	public record Platform(@StringPattern(StringPattern.ADDRESS) String logAddress,
			@StringPattern(StringPattern.ADDRESS) String cloudAddress,
			@Default("500") @Range(min = 50, max = 60_000) long cloudPollMillis,
			@Default("2000") @Range(min = 50, max = 60_000) long logTimeoutMillis,
			@Default("10000") @Range(min = 0, max = 30_000) long logWaitMillis,
			@Default("3600000") @Range(min = 100, max = 604_800_000) long snapshotMillis) {
	}

	/**
	 * Limits for callers.
	 *
	 * @param entryTtlMillis how long callers may use an entry answer
	 * @param entryCount the maximum number of nodes in an entry answer
	 * @param maxBodyBytes the maximum size of a request body
	 * @param maxOpenRequests the maximum number of open requests of all callers
	 * @param defaultDeadlineMillis the time limit of requests that don't set one
	 * @param maxDeadlineMillis the maximum time limit of a request; longer ones are
	 * reduced to it
	 */
	public record Callers(@Default("10000") @Range(min = 100, max = 600_000) long entryTtlMillis,
			@Default("3") @Range(min = 1, max = 16) int entryCount,
			@Default("1048576") @Range(min = 1_024, max = 67_108_864) int maxBodyBytes,
			@Default("512") @Range(min = 1, max = 8_192) int maxOpenRequests,
			@Default("30000") @Range(min = 100, max = 600_000) long defaultDeadlineMillis,
			@Default("120000") @Range(min = 100, max = 3_600_000) long maxDeadlineMillis) {
	}

	/**
	 * Limits and timeouts for keyed requests.
	 *
	 * @param firstUseMillis how long a key prefix is valid for new requests
	 * @param retentionMillis how long the outcome of a key is retained
	 * @param maxEntries the maximum number of retained keys
	 * @param maxKeptBytes the maximum total size of retained requests and answers
	 * @param answerTimeoutMillis how long to wait for the answer of a backend server
	 * before the outcome counts as unknown
	 * @param connectTimeoutMillis the timeout for opening a connection to a backend
	 * server
	 * @param stopMarginMillis the time before a reclaim that is reserved for handing
	 * requests over to another node
	 */
	public record Requests(@Default("120000") @Range(min = 1_000, max = 86_400_000) long firstUseMillis,
			@Default("3600000") @Range(min = 2_000, max = 604_800_000) long retentionMillis,
			@Default("100000") @Range(min = 10, max = 10_000_000) int maxEntries,
			@Default("67108864") @Range(min = 65_536, max = 4_294_967_296L) long maxKeptBytes,
			@Default("60000") @Range(min = 100, max = 3_600_000) long answerTimeoutMillis,
			@Default("1000") @Range(min = 10, max = 60_000) long connectTimeoutMillis,
			@Default("2000") @Range(min = 100, max = 60_000) long stopMarginMillis) {

		public Requests {
			if (retentionMillis <= firstUseMillis) {
				throw new IllegalArgumentException("retentionMillis longer than firstUseMillis");
			}
		}

	}

	/**
	 * Operator who may publish the first manifest.
	 *
	 * @param bootstrapName the operator's name
	 * @param bootstrapKeyDigest the SHA-256 digest of the operator's bearer key
	 */
	public record Operators(@StringPattern(StringPattern.NAME) String bootstrapName,
			@StringPattern(StringPattern.DIGEST) String bootstrapKeyDigest) {
	}

	/**
	 * Structured log.
	 *
	 * @param level the minimum severity of entries that are written
	 */
	public record Log(@Default("info") @StringPattern("error|warn|info|debug") String level) {
	}

}
