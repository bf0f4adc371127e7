/**
 * The parts of an entry node that follow the records in the store (reports of other
 * nodes, registrations of backend servers, and operators' configurations and rollouts),
 * and the metrics page.
 */
@NullMarked
package io.flamingogap.gateway.node;

import org.jspecify.annotations.NullMarked;
