/**
 * Detection of servers that crash, and the exchange of what prompt parts did to them
 * between the entry nodes.
 */
@NullMarked
package io.flamingogap.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
