/**
 * Tests of the operators' interface.
 */
@NullMarked
package io.flamingogap.daemon.operators;

import org.jspecify.annotations.NullMarked;
