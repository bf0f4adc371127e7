/**
 * Serves health, readiness and metrics.
 */
@NullMarked
package io.flamingogap.daemon.admin;

import org.jspecify.annotations.NullMarked;
