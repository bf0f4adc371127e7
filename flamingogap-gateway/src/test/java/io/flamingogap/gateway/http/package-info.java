/**
 * Tests of the HTTP client and server for calls between nodes and to the platform.
 */
@NullMarked
package io.flamingogap.gateway.http;

import org.jspecify.annotations.NullMarked;
