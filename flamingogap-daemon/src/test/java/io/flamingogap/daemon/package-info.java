/**
 * Tests that concern the whole daemon.
 */
@NullMarked
package io.flamingogap.daemon;

import org.jspecify.annotations.NullMarked;
