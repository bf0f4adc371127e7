/**
 * Typed failures that carry the step and the peer at which they arose.
 */
@NullMarked
package io.flamingogap.core.error;

import org.jspecify.annotations.NullMarked;
