/**
 * Tests of the account of the bytes that a node holds for others.
 */
@NullMarked
package io.flamingogap.gateway.memory;

import org.jspecify.annotations.NullMarked;
