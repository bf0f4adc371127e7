/**
 * Fakes of the platform's log and cloud API.
 */
@NullMarked
package io.flamingogap.testkit.platform;

import org.jspecify.annotations.NullMarked;
