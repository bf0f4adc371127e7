/**
 * Tests of the manifest.
 */
@NullMarked
package io.flamingogap.core.manifest;

import org.jspecify.annotations.NullMarked;
