/**
 * HTTP listener and utilities for bodies with size limits, JSON and problem documents.
 */
@NullMarked
package io.flamingogap.daemon.http;

import org.jspecify.annotations.NullMarked;
