/**
 * Tests of the platform log's client.
 */
@NullMarked
package io.flamingogap.daemon.platformlog;

import org.jspecify.annotations.NullMarked;
