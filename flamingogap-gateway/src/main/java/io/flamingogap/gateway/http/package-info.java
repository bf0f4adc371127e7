/**
 * An HTTP client for calls to the platform and to other nodes, and a server for small
 * requests. Both run on the node's event loop.
 */
@NullMarked
package io.flamingogap.gateway.http;

import org.jspecify.annotations.NullMarked;
