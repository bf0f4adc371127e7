/**
 * Access to the platform's durable store: record streams that nodes read, follow and
 * append to.
 */
@NullMarked
package io.flamingogap.gateway.store;

import org.jspecify.annotations.NullMarked;
