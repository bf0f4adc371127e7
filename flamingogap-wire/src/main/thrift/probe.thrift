/** Messages for measuring the cost of a link; not used by the daemon. */
namespace java io.flamingogap.wire.probe

service LinkProbe {
  /** Send a message without an acknowledgement; a later heartbeat on the connection confirms it. */
  oneway void publish(1: i64 sequence, 2: binary payload)
  /** Send a message with an acknowledgement of its own. */
  i64 publishAcknowledged(1: i64 sequence, 2: binary payload)
  /** Return the number of messages received on this connection. */
  i64 heartbeat()
}
