/**
 * Access to the cloud's API: reclaim notices and the instance list.
 */
@NullMarked
package io.flamingogap.daemon.cloud;

import org.jspecify.annotations.NullMarked;
