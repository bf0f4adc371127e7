/**
 * Tests of the relay of callers' requests to backend servers.
 */
@NullMarked
package io.flamingogap.gateway.relay;

import org.jspecify.annotations.NullMarked;
