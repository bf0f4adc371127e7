/**
 * Talks to the platform log.
 */
@NullMarked
package io.flamingogap.daemon.platformlog;

import org.jspecify.annotations.NullMarked;
