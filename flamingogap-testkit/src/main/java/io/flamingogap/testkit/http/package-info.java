/**
 * HTTP server and JSON functions that the fake services and the check share.
 */
@NullMarked
package io.flamingogap.testkit.http;

import org.jspecify.annotations.NullMarked;
