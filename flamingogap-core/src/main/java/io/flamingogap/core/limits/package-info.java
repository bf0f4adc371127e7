/**
 * Limits on open requests and on retries, which protect the node and the backend servers
 * from overload.
 */
@NullMarked
package io.flamingogap.core.limits;

import org.jspecify.annotations.NullMarked;
