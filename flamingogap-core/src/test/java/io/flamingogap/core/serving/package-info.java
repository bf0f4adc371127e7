/**
 * Tests of the routing configuration.
 */
@NullMarked
package io.flamingogap.core.serving;

import org.jspecify.annotations.NullMarked;
