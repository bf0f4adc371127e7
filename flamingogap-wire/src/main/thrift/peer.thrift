/**
 * Messages between entry nodes: calls to the platform's store that another node makes for the
 * sender, because the store refuses the sender's calls or to make fewer calls per zone, and
 * datagrams about load and quotas.
 */
namespace java io.flamingogap.wire.peer

/** Type of a call to the store. */
enum StoreCall {
  READ = 1
  NEWEST = 2
  APPEND = 3
}

/** Outcome of a call to the store. */
enum StoreOutcome {
  DONE = 1
  UNAVAILABLE = 2
  UNKNOWN = 3
  DROPPED = 4
  CONFLICT = 5
  SHORTENED = 6
}

/** Call to the store. Streams have the names that the nodes use for them. */
struct PeerCall {
  1: required StoreCall call
  2: required string streamName
  /** READ: the first offset to read. */
  3: required i64 fromOffset
  /**
   * READ: how long to wait for a record. APPEND: how long the record may wait to be appended
   * together with others; 0 to append it at once.
   */
  4: required i64 waitMillis
  /** NEWEST: the last key of the previous page; absent for the first page. APPEND: the key. */
  5: optional string key
  /** APPEND: the content; absent to remove the key. */
  6: optional binary content
  /** The newest timeline of the store that the sender knows of; fromOffset is of no later one. */
  7: optional i64 timeline
}

/** Record of a stream. */
struct PeerRecord {
  1: required string key
  2: optional binary content
  3: required i64 position
}

/** Reply to a PeerCall. */
struct PeerReply {
  1: required StoreOutcome outcome
  2: required list<PeerRecord> entries
  /**
   * READ: the offset to continue from. NEWEST: the end of the stream. APPEND: the offset of the
   * record or, if it was appended together with others, of the first one.
   */
  3: required i64 position
  /** NEWEST: whether another page follows. */
  4: required bool hasMore
  /**
   * READ: how long ago the store itself last answered the sender, in milliseconds; absent if it
   * answered this call.
   */
  5: optional i64 ageMillis
  /**
   * The timeline of the store that the positions belong to. After a failure, the newest one that
   * the sender knows of.
   */
  6: optional i64 timeline
}

/** Open requests and unread tokens of one node at a backend server. */
struct OpenLoad {
  1: required string serverId
  2: required i32 openRequests
  3: required i64 unreadTokens
}

/** Changed loads of one node, sent as a datagram to the other nodes of its zone. */
struct LoadNews {
  1: required string node
  2: required list<OpenLoad> loads
}

/** Request to a holder of an account's quota to spend units. */
struct QuotaCharge {
  1: required i64 id
  2: required string account
  3: required i64 units
}

/** Answer to a QuotaCharge. */
struct QuotaVerdict {
  /** The id of the charge. */
  1: required i64 id
  /** Whether the sender may spend a share of the quota; if not, the other fields say nothing. */
  2: required bool holder
  /** 0 if the units were spent, otherwise the time until they can be. */
  3: required i64 waitMillis
  /** How many units are missing; 0 if they were spent. */
  4: required i64 missingUnits
  5: required i64 availableUnits
}

/** Return of units that were spent for a request that didn't run. */
struct QuotaRefund {
  /** The id of the charge. */
  1: required i64 id
  2: required string account
  3: required i64 units
}

/** Message about the quota of an account; exactly one of the optional fields is set. */
struct QuotaNews {
  /** The name of the sender. */
  1: required string node
  2: optional QuotaCharge charge
  3: optional QuotaVerdict verdict
  4: optional QuotaRefund refund
}

/** What a node saw of the crash of a backend server. */
struct CrashNews {
  1: required string serverId
  2: required i64 startedAtMillis
  3: required string serviceName
  /** The shared prompt parts and the requests, by fingerprint, that may have caused it. */
  4: required list<string> parts
}

/** Prompt parts, and requests by fingerprint, that a backend server survived. */
struct SurvivalNews {
  1: required string serviceName
  2: required list<string> parts
}

/** What prompts did to backend servers, as the sender saw it or was told by another node. */
struct PromptNews {
  /** The crashes that the sender saw a short time ago. */
  1: required list<CrashNews> crashes
  2: required list<SurvivalNews> survivals
}

/** Departure of a run of a backend server that the sender learnt from an answer. */
struct DepartureNews {
  1: required string serverId
  2: required i64 startedAtMillis
}

/** Content of a datagram; exactly one field is set. Fields 2 and 3 were used before. */
struct PeerDatagram {
  1: optional LoadNews loads
  4: optional QuotaNews quota
  5: optional PromptNews prompts
  6: optional DepartureNews departure
}
