/**
 * Binding of TOML documents to records, with validation that reports all errors at once.
 */
@NullMarked
package io.flamingogap.core.toml;

import org.jspecify.annotations.NullMarked;
