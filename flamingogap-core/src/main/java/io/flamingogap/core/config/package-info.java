/**
 * The manifest in force, determined by the records of the platform log alone.
 */
@NullMarked
package io.flamingogap.core.config;

import org.jspecify.annotations.NullMarked;
