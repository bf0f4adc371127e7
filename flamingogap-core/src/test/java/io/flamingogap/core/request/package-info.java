/**
 * Tests of at-most-once execution of keyed requests.
 */
@NullMarked
package io.flamingogap.core.request;

import org.jspecify.annotations.NullMarked;
