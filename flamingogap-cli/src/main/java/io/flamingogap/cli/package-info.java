/**
 * Command-line client for operators.
 */
@NullMarked
package io.flamingogap.cli;

import org.jspecify.annotations.NullMarked;
