/**
 * Tests of several daemons as processes of their own, with faults done for real.
 */
@NullMarked
package io.flamingogap.daemon.fleet;

import org.jspecify.annotations.NullMarked;
