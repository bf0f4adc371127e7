/**
 * Selection of a backend server of the manifest for each request, by zone and load. Used
 * by the daemon; the gateway selects servers with {@code io.flamingogap.core.servers}
 * instead.
 */
@NullMarked
package io.flamingogap.core.routing;

import org.jspecify.annotations.NullMarked;
