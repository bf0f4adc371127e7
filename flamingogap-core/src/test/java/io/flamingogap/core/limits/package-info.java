/**
 * Tests of the concurrency limit and of the retry budgets.
 */
@NullMarked
package io.flamingogap.core.limits;

import org.jspecify.annotations.NullMarked;
