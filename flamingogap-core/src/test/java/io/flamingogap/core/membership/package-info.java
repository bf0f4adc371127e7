/**
 * Tests of the membership table and of the selection of peers.
 */
@NullMarked
package io.flamingogap.core.membership;

import org.jspecify.annotations.NullMarked;
