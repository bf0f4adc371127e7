/**
 * Tests of the fakes of the users' platform.
 */
@NullMarked
package io.flamingogap.testkit.metadata;

import org.jspecify.annotations.NullMarked;
