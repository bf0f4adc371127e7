/**
 * Tests of the quarantine.
 */
@NullMarked
package io.flamingogap.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
