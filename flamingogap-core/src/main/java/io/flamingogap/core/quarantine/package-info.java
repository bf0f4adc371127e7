/**
 * Quarantine of prompt parts that crash the servers which begin to answer them.
 */
@NullMarked
package io.flamingogap.core.quarantine;

import org.jspecify.annotations.NullMarked;
