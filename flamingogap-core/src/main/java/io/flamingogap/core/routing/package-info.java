/**
 * Selection of a backend server for each request, by zone and load.
 */
@NullMarked
package io.flamingogap.core.routing;

import org.jspecify.annotations.NullMarked;
