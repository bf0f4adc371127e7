/**
 * What callers speak: requests, their answers, and where to connect.
 */
@NullMarked
package io.flamingogap.gateway.callers;

import org.jspecify.annotations.NullMarked;
