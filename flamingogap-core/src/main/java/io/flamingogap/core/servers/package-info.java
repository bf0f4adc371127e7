/**
 * The registered backend servers, their estimated load and health, and the selection of
 * one for each request.
 */
@NullMarked
package io.flamingogap.core.servers;

import org.jspecify.annotations.NullMarked;
