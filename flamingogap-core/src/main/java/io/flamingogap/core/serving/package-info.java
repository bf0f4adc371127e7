/**
 * The configuration that entry nodes serve by: routes, services, accounts and limits.
 */
@NullMarked
package io.flamingogap.core.serving;

import org.jspecify.annotations.NullMarked;
