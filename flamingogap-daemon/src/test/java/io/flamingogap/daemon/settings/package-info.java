/**
 * Tests of the package.
 */
@NullMarked
package io.flamingogap.daemon.settings;

import org.jspecify.annotations.NullMarked;
