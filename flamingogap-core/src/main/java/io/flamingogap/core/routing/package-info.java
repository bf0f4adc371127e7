/**
 * Choice of a backend server for each request.
 */
@NullMarked
package io.flamingogap.core.routing;

import org.jspecify.annotations.NullMarked;
