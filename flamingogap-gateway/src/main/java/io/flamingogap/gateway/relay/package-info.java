/**
 * Relays callers' requests to backend servers and the responses back.
 */
@NullMarked
package io.flamingogap.gateway.relay;

import org.jspecify.annotations.NullMarked;
