/**
 * Settings of an entry node and their allowed ranges.
 */
@NullMarked
package io.flamingogap.daemon.settings;

import org.jspecify.annotations.NullMarked;
