/**
 * Tests of the client for the cloud's API.
 */
@NullMarked
package io.flamingogap.daemon.cloud;

import org.jspecify.annotations.NullMarked;
