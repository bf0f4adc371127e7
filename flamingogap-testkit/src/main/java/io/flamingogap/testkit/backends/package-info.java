/**
 * Fake backend servers: a model engine, a plain service, and a server with connection
 * faults.
 */
@NullMarked
package io.flamingogap.testkit.backends;

import org.jspecify.annotations.NullMarked;
