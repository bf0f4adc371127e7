/**
 * HTTP client for backend servers: pooled connections, requests and responses.
 */
@NullMarked
package io.flamingogap.gateway.backends;

import org.jspecify.annotations.NullMarked;
