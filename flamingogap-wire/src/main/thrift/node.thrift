/** Messages between entry nodes. Times are in milliseconds, sizes in bytes. */
namespace java io.flamingogap.wire

/** Identity of one run of an entry node. */
struct NodeRef {
  1: required string name
  2: required i64 incarnation
}

/** Lifecycle state that a node announces for itself; it only moves forward, in this order. */
enum MemberState {
  SERVING = 1
  DRAINING = 2
  HANDED_OVER = 3
  GONE = 4
}

/** One row of the membership table. */
struct Member {
  1: required NodeRef node
  2: required string zone
  3: required string callerAddress
  4: required string nodeAddress
  5: required MemberState state
  /** Raised by the member itself at each change. */
  6: required i64 version
  /** Set by a neighbour that lost its connection to the member; cleared by a higher version. */
  7: required bool unreachable
  8: optional NodeRef successor
}

/** Identity of a rollout; the start is in seconds since 1970 UTC. */
struct RolloutKey {
  1: required string serviceName
  2: required string candidate
  3: required i64 startsAtEpochSeconds
}

enum Arm {
  CURRENT = 1
  CANDIDATE = 2
}

/** Counts of requests at one run of a node, which only grow. */
struct EvidenceRow {
  1: required RolloutKey rollout
  2: required NodeRef node
  3: required Arm arm
  4: required string route
  5: required i32 period
  6: required i64 requests
  7: required i64 failures
  8: required i64 slow
}

/** Rollback: the final decision to end a rollout and return all traffic to the current version. */
struct TakeBack {
  1: required RolloutKey rollout
  2: required string by
  3: required string reason
  4: required i64 atMillis
}

/** Sent on each connection at an interval, and at once when the sender has changes to report. */
struct Heartbeat {
  1: required i64 sequence
  2: required i64 configHead
  /** Rows changed since the last acknowledged heartbeat on this connection. */
  3: required list<Member> changes
  /** Rows changed since the last acknowledged heartbeat, up to the maximum of one heartbeat. */
  4: required list<EvidenceRow> evidence
  /** Every rollback decision that the sender knows. */
  5: required list<TakeBack> takeBacks
}

struct HeartbeatReply {
  1: required i64 sequence
  2: required i64 configHead
  3: required list<Member> changes
  4: required list<EvidenceRow> evidence
  5: required list<TakeBack> takeBacks
}

struct Proof {
  1: required NodeRef node
  2: required binary mac
}

/** Record of the configuration stream with its offset in the platform's log. */
struct ConfigRecord {
  1: required i64 offset
  2: required string body
}

/** Request with an idempotency key, forwarded to the node that may dispatch the key. */
struct KeyedRequest {
  1: required string key
  2: required string account
  3: required string method
  4: required string path
  5: required string contentType
  6: required binary body
  7: required i64 remainingMillis
}

struct Answer {
  1: required i32 status
  2: required string contentType
  3: required binary body
}

/** State of an idempotency key at the node that owns it. */
struct KeyStatus {
  1: required string state
  2: optional Answer answer
}

/** Ledger entry that is handed over to another node. */
struct LedgerEntry {
  1: required string key
  2: required string account
  3: required string bodyDigest
  4: required string state
  5: optional KeyedRequest request
  6: optional Answer answer
  7: optional NodeRef dispatchedBy
}

/** Ledger entries of the keys of one issuer; a key space is handed over in several parts. */
struct KeySpacePart {
  1: required NodeRef issuer
  2: required i64 forgottenThroughMillis
  3: required list<LedgerEntry> entries
  /**
   * Set if this part replaces the entries offered before: it holds every entry or, if such a
   * part is split, is its first chunk.
   */
  4: required bool whole
  /**
   * Fingerprint over all entries of the key space at the sender; a commit takes effect only if
   * the receiver's fingerprint is the same.
   */
  5: required i64 fingerprint
}

/** Outcome of a commit at the receiver; a refusal is final. */
enum CommitReply {
  TAKEN = 1
  INCOMPLETE = 2
  REFUSED = 3
}

exception NodeFault {
  1: required string step
  2: required string peer
  3: required string message
}

service NodeService {
  /** Return a nonce that the caller signs with the shared secret. */
  binary challenge()
  NodeRef authenticate(1: Proof proof) throws (1: NodeFault fault)
  HeartbeatReply heartbeat(1: Heartbeat heartbeat) throws (1: NodeFault fault)
  list<ConfigRecord> configRecords(1: i64 firstOffset, 2: i32 limit) throws (1: NodeFault fault)
  Answer forward(1: KeyedRequest request) throws (1: NodeFault fault)
  KeyStatus keyStatus(1: string key, 2: string account) throws (1: NodeFault fault)
  /** Store entries, which have no effect until the commit. */
  void offer(1: NodeRef sender, 2: list<KeySpacePart> parts) throws (1: NodeFault fault)
  /** Hand over the keys of these issuers: the sender stops dispatching them; the receiver may. */
  CommitReply commit(1: NodeRef sender, 2: list<KeySpacePart> parts) throws (1: NodeFault fault)
  /** Record the outcomes of calls that were in flight at the commit. */
  void outcomes(1: NodeRef sender, 2: list<KeySpacePart> parts) throws (1: NodeFault fault)
}
