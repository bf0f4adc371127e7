/**
 * The backend servers that are known, how loaded and how sound they seem, and which of
 * them gets a request.
 */
@NullMarked
package io.flamingogap.core.servers;

import org.jspecify.annotations.NullMarked;
