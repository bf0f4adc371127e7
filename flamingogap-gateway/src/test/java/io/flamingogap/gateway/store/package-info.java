/**
 * Tests of the access to the platform's durable store.
 */
@NullMarked
package io.flamingogap.gateway.store;

import org.jspecify.annotations.NullMarked;
