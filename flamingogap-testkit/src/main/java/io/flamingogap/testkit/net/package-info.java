/**
 * TCP links that misbehave.
 */
@NullMarked
package io.flamingogap.testkit.net;

import org.jspecify.annotations.NullMarked;
