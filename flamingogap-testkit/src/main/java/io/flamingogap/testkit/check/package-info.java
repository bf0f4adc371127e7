/**
 * Drives a running system end to end.
 */
@NullMarked
package io.flamingogap.testkit.check;

import org.jspecify.annotations.NullMarked;
