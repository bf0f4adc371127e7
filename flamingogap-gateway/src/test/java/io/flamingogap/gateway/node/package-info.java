/**
 * Tests of the parts of a node that follow the store.
 */
@NullMarked
package io.flamingogap.gateway.node;

import org.jspecify.annotations.NullMarked;
