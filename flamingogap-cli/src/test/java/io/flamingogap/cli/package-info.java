/**
 * Tests of the command-line client.
 */
@NullMarked
package io.flamingogap.cli;

import org.jspecify.annotations.NullMarked;
