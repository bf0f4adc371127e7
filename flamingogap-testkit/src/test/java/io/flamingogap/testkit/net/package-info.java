/**
 * Tests of the links.
 */
@NullMarked
package io.flamingogap.testkit.net;

import org.jspecify.annotations.NullMarked;
