/**
 * Which manifest is in force, decided from the platform log alone.
 */
@NullMarked
package io.flamingogap.core.config;

import org.jspecify.annotations.NullMarked;
