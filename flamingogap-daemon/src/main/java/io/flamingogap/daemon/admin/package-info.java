/**
 * Health, readiness and metrics of a node.
 */
@NullMarked
package io.flamingogap.daemon.admin;

import org.jspecify.annotations.NullMarked;
