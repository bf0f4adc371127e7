/**
 * Stand-ins for the platform: its log and its cloud.
 */
@NullMarked
package io.flamingogap.testkit.platform;

import org.jspecify.annotations.NullMarked;
