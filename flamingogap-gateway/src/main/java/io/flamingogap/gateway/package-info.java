/**
 * Assembles an entry node from its components, on one event loop. Platforms implement the
 * interfaces of the other packages to provide their protocols.
 */
@NullMarked
package io.flamingogap.gateway;

import org.jspecify.annotations.NullMarked;
