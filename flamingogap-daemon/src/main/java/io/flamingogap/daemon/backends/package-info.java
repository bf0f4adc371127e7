/**
 * Talks to backend servers.
 */
@NullMarked
package io.flamingogap.daemon.backends;

import org.jspecify.annotations.NullMarked;
