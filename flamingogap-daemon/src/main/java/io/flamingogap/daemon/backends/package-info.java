/**
 * Clients for backend servers: selection, calls, token streams and load reports.
 */
@NullMarked
package io.flamingogap.daemon.backends;

import org.jspecify.annotations.NullMarked;
