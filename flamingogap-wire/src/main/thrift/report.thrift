/** Records that entry nodes store on the platform for each other. Times are in milliseconds. */
namespace java io.flamingogap.wire.report

/** Number of requests that backend servers started to process in one window, by client account. */
struct UsageWindow {
  1: required i64 number
  2: required map<string, i64> requests
}

/** Outcomes of one version of a service on one route since the rollout began. */
struct VersionTally {
  1: required string serviceName
  2: required string version
  3: required string route
  4: required i64 requests
  5: required i64 failures
  6: required i64 slow
}

/** Demand of the callers of one node for a service. */
struct ServiceDemand {
  1: required string serviceName
  2: required i32 openRequests
  3: required i64 promptTokensPerSecond
  4: required i64 requestsPerMinute
}

/** State of one run of an entry node; replaces its earlier reports. */
struct NodeReport {
  1: required string node
  2: required i64 incarnation
  3: required string callerAddress
  4: required string zone
  5: required bool serving
  6: required i64 timeOfDayMillis
  /** No longer used; empty. */
  7: required map<string, i64> demandPerSecond
  8: required list<UsageWindow> usage
  9: required list<ServiceDemand> services
  10: required list<VersionTally> tallies
  /** The number of the report in its run; greater than that of every earlier one. */
  11: optional i64 sequence
}

/** Claim of the duties that one node performs for all. */
struct DutyClaim {
  1: required string holder
  /** The fencing token of the claim. */
  2: required i64 token
  /** The number of the store's timeline in which the node claimed. */
  3: required i64 timeline
  /** Usage of this window and earlier ones is reported or left out; absent if unknown. */
  4: optional i64 settledWindow
}

/**
 * Usage report, stored before it is sent because its content must not change once it may have
 * been sent.
 */
struct UsageIntent {
  1: required i64 window
  2: required map<string, i64> requests
  /** The fencing token of the holder that stored the report. */
  3: optional i64 token
  /** The number of the store's timeline in which that holder claimed the duties. */
  4: optional i64 timeline
}

/** Quarantine of prompt parts. Stored beside the node reports, under a key of its own. */
struct QuarantineRecord {
  1: required string serviceName
  /** A request is stopped if it has all of them. */
  2: required list<string> parts
  /** The end by the time of day, in milliseconds since 1970 UTC. */
  3: required i64 endsAtMillis
}
