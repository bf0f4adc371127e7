/**
 * Tests of the selection of a server by zone and load.
 */
@NullMarked
package io.flamingogap.core.routing;

import org.jspecify.annotations.NullMarked;
