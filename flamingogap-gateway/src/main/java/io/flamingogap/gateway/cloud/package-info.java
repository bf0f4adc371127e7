/**
 * Calls to the cloud that one node makes for all: usage reports and orders of servers.
 */
@NullMarked
package io.flamingogap.gateway.cloud;

import org.jspecify.annotations.NullMarked;
