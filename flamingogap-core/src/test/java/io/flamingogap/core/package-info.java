/**
 * Tests of the architecture of the module.
 */
@NullMarked
package io.flamingogap.core;

import org.jspecify.annotations.NullMarked;
