/**
 * Tests of the HTTP client for backend servers.
 */
@NullMarked
package io.flamingogap.gateway.backends;

import org.jspecify.annotations.NullMarked;
