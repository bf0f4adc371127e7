/**
 * Streams of the platform log: configuration, request transitions and audit trail.
 */
@NullMarked
package io.flamingogap.daemon.platformlog;

import org.jspecify.annotations.NullMarked;
