/**
 * Tests of the package of the same name.
 */
@NullMarked
package io.flamingogap.gateway.store;

import org.jspecify.annotations.NullMarked;
