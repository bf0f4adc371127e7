/**
 * Stand-ins for backend servers: a model engine and a plain service.
 */
@NullMarked
package io.flamingogap.testkit.backends;

import org.jspecify.annotations.NullMarked;
