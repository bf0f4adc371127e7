/**
 * Tests with several daemon processes and injected faults: killed and frozen processes,
 * broken connections, and an unavailable platform log.
 */
@NullMarked
package io.flamingogap.daemon.fleet;

import org.jspecify.annotations.NullMarked;
