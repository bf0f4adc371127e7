/**
 * Tests of the package of the same name.
 */
@NullMarked
package io.flamingogap.core.quota;

import org.jspecify.annotations.NullMarked;
