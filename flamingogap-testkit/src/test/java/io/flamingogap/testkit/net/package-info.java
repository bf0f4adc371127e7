/**
 * Tests of the TCP relays.
 */
@NullMarked
package io.flamingogap.testkit.net;

import org.jspecify.annotations.NullMarked;
