/**
 * An entry node on one event loop, wired together from its parts. What peers speak comes
 * in through the interfaces of the packages for each peer.
 */
@NullMarked
package io.flamingogap.gateway;

import org.jspecify.annotations.NullMarked;
