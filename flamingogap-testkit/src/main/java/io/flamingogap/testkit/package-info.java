/**
 * Command that starts stand-ins and drivers as processes of their own.
 */
@NullMarked
package io.flamingogap.testkit;

import org.jspecify.annotations.NullMarked;
