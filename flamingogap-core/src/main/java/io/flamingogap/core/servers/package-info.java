/**
 * The registered backend servers, their estimated load and health, and the selection of
 * one for each request. Used by the gateway; the daemon selects servers with
 * {@code io.flamingogap.core.routing} instead.
 */
@NullMarked
package io.flamingogap.core.servers;

import org.jspecify.annotations.NullMarked;
