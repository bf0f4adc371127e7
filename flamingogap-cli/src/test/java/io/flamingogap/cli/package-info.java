/**
 * Tests of the command line.
 */
@NullMarked
package io.flamingogap.cli;

import org.jspecify.annotations.NullMarked;
