/**
 * TCP relays that inject network faults, and free ports.
 */
@NullMarked
package io.flamingogap.testkit.net;

import org.jspecify.annotations.NullMarked;
