/**
 * Command that starts fake services and checks as separate processes.
 */
@NullMarked
package io.flamingogap.testkit;

import org.jspecify.annotations.NullMarked;
