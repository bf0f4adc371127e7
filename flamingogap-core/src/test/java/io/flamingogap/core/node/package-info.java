/**
 * Tests of the identities and addresses of nodes.
 */
@NullMarked
package io.flamingogap.core.node;

import org.jspecify.annotations.NullMarked;
