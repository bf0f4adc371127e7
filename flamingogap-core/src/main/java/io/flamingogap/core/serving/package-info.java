/**
 * The configuration that entry nodes serve requests with: routes, services, client
 * accounts and limits.
 */
@NullMarked
package io.flamingogap.core.serving;

import org.jspecify.annotations.NullMarked;
