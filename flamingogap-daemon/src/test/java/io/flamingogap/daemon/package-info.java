/**
 * Tests that apply to the daemon as a whole.
 */
@NullMarked
package io.flamingogap.daemon;

import org.jspecify.annotations.NullMarked;
