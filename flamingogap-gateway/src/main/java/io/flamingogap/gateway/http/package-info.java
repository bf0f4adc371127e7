/**
 * HTTP calls to the platform, and small pages for it, on the node's event loop.
 */
@NullMarked
package io.flamingogap.gateway.http;

import org.jspecify.annotations.NullMarked;
