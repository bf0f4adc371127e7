/**
 * Serves callers: entry answers, model streams, plain services and the status of keys.
 */
@NullMarked
package io.flamingogap.daemon.callers;

import org.jspecify.annotations.NullMarked;
