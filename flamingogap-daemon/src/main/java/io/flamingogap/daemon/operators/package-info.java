/**
 * HTTP interface for operators: configuration changes, status, rollouts, drains and the
 * audit trail.
 */
@NullMarked
package io.flamingogap.daemon.operators;

import org.jspecify.annotations.NullMarked;
