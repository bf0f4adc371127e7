/** Messages that measure what a link costs; not used by the daemon. */
namespace java io.flamingogap.wire.probe

service LinkProbe {
  /** Sent without an acknowledgement; a later heartbeat on the connection vouches for it. */
  oneway void publish(1: i64 sequence, 2: binary payload)
  /** Sent with an acknowledgement of its own. */
  i64 publishAcknowledged(1: i64 sequence, 2: binary payload)
  /** Returns the number of messages received on this connection. */
  i64 heartbeat()
}
