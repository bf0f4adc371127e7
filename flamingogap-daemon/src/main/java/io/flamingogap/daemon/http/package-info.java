/**
 * Shared handling of HTTP exchanges: limits, JSON and problem documents.
 */
@NullMarked
package io.flamingogap.daemon.http;

import org.jspecify.annotations.NullMarked;
