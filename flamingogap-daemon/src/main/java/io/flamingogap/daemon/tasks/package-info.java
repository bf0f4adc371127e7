/**
 * Work that a node repeats at an interval.
 */
@NullMarked
package io.flamingogap.daemon.tasks;

import org.jspecify.annotations.NullMarked;
