/**
 * HTTP handlers for callers: entry answers, model services, plain services and the status
 * of keyed requests.
 */
@NullMarked
package io.flamingogap.daemon.callers;

import org.jspecify.annotations.NullMarked;
