/**
 * Tests of the quarantine of prompt parts.
 */
@NullMarked
package io.flamingogap.core.quarantine;

import org.jspecify.annotations.NullMarked;
