/**
 * Structured logging that doesn't block the event loop.
 */
@NullMarked
package io.flamingogap.gateway.log;

import org.jspecify.annotations.NullMarked;
