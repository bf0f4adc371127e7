/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.daemon.nodes;

import org.jspecify.annotations.NullMarked;
