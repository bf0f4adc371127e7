/**
 * A small HTTP server and client for stand-ins and drivers.
 */
@NullMarked
package io.flamingogap.testkit.http;

import org.jspecify.annotations.NullMarked;
