/**
 * The platform's store of what must last: streams of records, followed and appended to.
 */
@NullMarked
package io.flamingogap.gateway.store;

import org.jspecify.annotations.NullMarked;
