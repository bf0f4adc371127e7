/**
 * Binds TOML documents to records and reports all faults at once.
 */
@NullMarked
package io.flamingogap.core.toml;

import org.jspecify.annotations.NullMarked;
