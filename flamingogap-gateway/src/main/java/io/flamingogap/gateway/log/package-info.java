/**
 * Structured log lines that never hold up the event loop.
 */
@NullMarked
package io.flamingogap.gateway.log;

import org.jspecify.annotations.NullMarked;
