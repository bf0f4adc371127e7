/**
 * Serves operators: changes, status, drains and the audit trail.
 */
@NullMarked
package io.flamingogap.daemon.operators;

import org.jspecify.annotations.NullMarked;
