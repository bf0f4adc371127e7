/**
 * Tests of the settings of an entry node.
 */
@NullMarked
package io.flamingogap.daemon.settings;

import org.jspecify.annotations.NullMarked;
