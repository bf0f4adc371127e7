/**
 * Stand-ins for the users' platform: its metadata store, its cloud and its backend
 * servers, with their faults.
 */
@NullMarked
package io.flamingogap.testkit.metadata;

import org.jspecify.annotations.NullMarked;
