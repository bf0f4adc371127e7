/**
 * Tests of the configuration that results from the stream.
 */
@NullMarked
package io.flamingogap.core.config;

import org.jspecify.annotations.NullMarked;
