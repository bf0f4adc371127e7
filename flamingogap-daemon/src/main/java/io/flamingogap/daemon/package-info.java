/**
 * Main class of the daemon, and the setup, start and stop of an entry node.
 */
@NullMarked
package io.flamingogap.daemon;

import org.jspecify.annotations.NullMarked;
