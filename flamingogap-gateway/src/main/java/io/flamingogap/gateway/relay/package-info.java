/**
 * The way of one request from its caller to a backend server and back.
 */
@NullMarked
package io.flamingogap.gateway.relay;

import org.jspecify.annotations.NullMarked;
