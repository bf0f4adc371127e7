/**
 * End-to-end check of a running system.
 */
@NullMarked
package io.flamingogap.testkit.check;

import org.jspecify.annotations.NullMarked;
