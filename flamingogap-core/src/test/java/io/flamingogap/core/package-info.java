/**
 * Tests of the structure of the decisions.
 */
@NullMarked
package io.flamingogap.core;

import org.jspecify.annotations.NullMarked;
