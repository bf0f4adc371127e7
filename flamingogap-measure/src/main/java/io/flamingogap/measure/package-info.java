/**
 * Performance measurements, each started by a command of its own.
 */
@NullMarked
package io.flamingogap.measure;

import org.jspecify.annotations.NullMarked;
