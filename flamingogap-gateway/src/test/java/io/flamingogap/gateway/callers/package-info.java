/**
 * Tests of the connections of callers.
 */
@NullMarked
package io.flamingogap.gateway.callers;

import org.jspecify.annotations.NullMarked;
