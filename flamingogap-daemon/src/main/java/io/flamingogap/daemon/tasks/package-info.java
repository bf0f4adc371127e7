/**
 * Background tasks that run at an interval.
 */
@NullMarked
package io.flamingogap.daemon.tasks;

import org.jspecify.annotations.NullMarked;
