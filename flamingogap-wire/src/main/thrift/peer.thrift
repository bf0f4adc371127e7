/** Calls that an entry node makes of another one when the platform's store turns it away. */
namespace java io.flamingogap.wire.peer

/** The call that is made of the store. */
enum StoreCall {
  READ = 1
  NEWEST = 2
  APPEND = 3
}

/** What became of it. */
enum StoreOutcome {
  DONE = 1
  UNAVAILABLE = 2
  UNKNOWN = 3
  DROPPED = 4
  CONFLICT = 5
}

/** A call to make of the store. Streams are named as the nodes name them. */
struct PeerCall {
  1: required StoreCall call
  2: required string streamName
  /** READ: the first offset to read. */
  3: required i64 fromOffset
  /** READ: how long to wait for a record. APPEND: how long it may wait for others; 0 for none. */
  4: required i64 waitMillis
  /** NEWEST: the last key of the page before. APPEND: the key. */
  5: optional string key
  /** APPEND: the content; absent to remove the key. */
  6: optional binary content
}

/** A record of a stream. */
struct PeerRecord {
  1: required string key
  2: optional binary content
  3: required i64 position
}

/** The answer. */
struct PeerReply {
  1: required StoreOutcome outcome
  2: required list<PeerRecord> entries
  /** READ: the offset to go on from. NEWEST: the end of the stream. APPEND: the offset. */
  3: required i64 position
  /** NEWEST: whether another page follows. */
  4: required bool hasMore
}

/** What one node has open at a backend server. */
struct OpenLoad {
  1: required string serverId
  2: required i32 openRequests
  3: required i64 unreadTokens
}

/** Loads of one node that changed; sent to the nodes of its zone as a datagram. */
struct LoadNews {
  1: required string node
  2: required list<OpenLoad> loads
}

/** Asks another node to lend units of an account's quota. */
struct QuotaAsk {
  1: required string account
  2: required i64 units
}

/** Units that a node lends; they leave its own share. */
struct QuotaGrant {
  1: required string account
  2: required i64 units
}

/** What a datagram carries; one of these. */
struct PeerDatagram {
  1: optional LoadNews loads
  2: optional QuotaAsk ask
  3: optional QuotaGrant grant
}
