/**
 * Tests of the package of the same name.
 */
@NullMarked
package io.flamingogap.core.servers;

import org.jspecify.annotations.NullMarked;
