/**
 * The duties: calls that one entry node, the holder, makes for all. It reports usage to
 * the cloud, orders servers and publishes the progress of rollouts.
 */
@NullMarked
package io.flamingogap.gateway.cloud;

import org.jspecify.annotations.NullMarked;
