/**
 * Connections of callers: parsing of requests, sending of responses, and the interfaces
 * that a platform implements for its protocol.
 */
@NullMarked
package io.flamingogap.gateway.callers;

import org.jspecify.annotations.NullMarked;
