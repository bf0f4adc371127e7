/**
 * Tests of the clients for backend servers.
 */
@NullMarked
package io.flamingogap.daemon.backends;

import org.jspecify.annotations.NullMarked;
