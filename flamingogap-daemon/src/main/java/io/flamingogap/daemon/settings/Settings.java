package io.flamingogap.daemon.settings;

import java.util.List;

import io.flamingogap.core.toml.Default;
import io.flamingogap.core.toml.Range;
import io.flamingogap.core.toml.StringPattern;

/**
 * The settings of an entry node. Names carry the unit of their value.
 *
 * @param node who the node is
 * @param listen where it listens
 * @param nodes how it talks to other entry nodes
 * @param platform where the platform is
 * @param callers what it allows callers
 * @param requests how keyed requests are kept
 * @param operators who may publish the first manifest
 * @param log the structured log
 */
public record Settings(Node node, Listen listen, Nodes nodes, Platform platform, Callers callers, Requests requests,
		Operators operators, Log log) {

	/**
	 * Who the node is.
	 *
	 * @param name the name of its instance, as in the cloud's notices
	 * @param zone its availability zone
	 */
	public record Node(@StringPattern(StringPattern.NAME) String name, @StringPattern(StringPattern.NAME) String zone) {
	}

	/**
	 * Where the node listens.
	 *
	 * @param callerAddress for callers and operators
	 * @param nodeAddress for other entry nodes
	 * @param adminAddress for health, readiness and metrics
	 * @param advertisedNodeAddress what other entry nodes are told to connect to; empty
	 * for nodeAddress
	 */
	public record Listen(@StringPattern(StringPattern.ADDRESS) String callerAddress,
			@StringPattern(StringPattern.ADDRESS) String nodeAddress,
			@StringPattern(StringPattern.ADDRESS) String adminAddress,
			@Default("") @StringPattern("|" + StringPattern.ADDRESS) String advertisedNodeAddress) {

		/**
		 * Return what other entry nodes are told to connect to.
		 * @return the IP number and port
		 */
		public String reachableNodeAddress() {
			return this.advertisedNodeAddress.isEmpty() ? this.nodeAddress : this.advertisedNodeAddress;
		}

	}

	/**
	 * How the node talks to other entry nodes.
	 *
	 * @param sharedSecret what nodes prove to know at the start of a connection
	 * @param seedAddresses entry nodes to ask first
	 * @param fanOut the most neighbours to keep a connection with
	 * @param heartbeatMillis the time between two heartbeats on a connection
	 * @param silentMillis how long a connection may stay without an answer
	 */
	public record Nodes(@StringPattern(".{16,256}") String sharedSecret,
			@Default("") @StringPattern(StringPattern.ADDRESS) List<String> seedAddresses,
			@Default("4") @Range(min = 1, max = 32) int fanOut,
			@Default("1000") @Range(min = 50, max = 60_000) long heartbeatMillis,
			@Default("2000") @Range(min = 100, max = 120_000) long silentMillis) {
	}

	/**
	 * Where the platform is.
	 *
	 * @param logAddress the log
	 * @param cloudAddress the cloud
	 * @param cloudPollMillis the time between two looks at notices and instances
	 * @param logTimeoutMillis how long one call of the log may take
	 * @param logWaitMillis how long a read waits for a new record
	 * @param snapshotMillis how long a change stays without a snapshot in the log; well
	 * below the time for which the log keeps records
	 */
	public record Platform(@StringPattern(StringPattern.ADDRESS) String logAddress,
			@StringPattern(StringPattern.ADDRESS) String cloudAddress,
			@Default("500") @Range(min = 50, max = 60_000) long cloudPollMillis,
			@Default("2000") @Range(min = 50, max = 60_000) long logTimeoutMillis,
			@Default("10000") @Range(min = 0, max = 30_000) long logWaitMillis,
			@Default("3600000") @Range(min = 100, max = 604_800_000) long snapshotMillis) {
	}

	/**
	 * What the node allows callers.
	 *
	 * @param entryTtlMillis how long callers may keep an entry answer
	 * @param entryCount the most nodes in an entry answer
	 * @param maxBodyBytes the largest request body
	 * @param maxOpenRequests the most requests open at once
	 * @param defaultDeadlineMillis the deadline of requests that name none
	 * @param maxDeadlineMillis the longest deadline
	 */
	public record Callers(@Default("10000") @Range(min = 100, max = 600_000) long entryTtlMillis,
			@Default("3") @Range(min = 1, max = 16) int entryCount,
			@Default("1048576") @Range(min = 1_024, max = 67_108_864) int maxBodyBytes,
			@Default("512") @Range(min = 1, max = 8_192) int maxOpenRequests,
			@Default("30000") @Range(min = 100, max = 600_000) long defaultDeadlineMillis,
			@Default("120000") @Range(min = 100, max = 3_600_000) long maxDeadlineMillis) {
	}

	/**
	 * How keyed requests are kept.
	 *
	 * @param firstUseMillis how long a key prefix may begin new requests
	 * @param retentionMillis how long the outcome of a key is kept
	 * @param maxEntries the most keys kept
	 * @param maxKeptBytes the most bytes of kept requests and answers
	 * @param answerTimeoutMillis how long a backend server may take before the outcome
	 * counts as unknown
	 * @param connectTimeoutMillis how long opening a connection to a backend server may
	 * take
	 * @param stopMarginMillis the part of a reclaim notice kept for passing requests on
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
	 * Who may publish the first manifest.
	 *
	 * @param bootstrapName the operator's name
	 * @param bootstrapKeyDigest the SHA-256 digest of their bearer key
	 */
	public record Operators(@StringPattern(StringPattern.NAME) String bootstrapName,
			@StringPattern(StringPattern.DIGEST) String bootstrapKeyDigest) {
	}

	/**
	 * The structured log.
	 *
	 * @param level the least severe level that is written
	 */
	public record Log(@Default("info") @StringPattern("error|warn|info|debug") String level) {
	}

}
