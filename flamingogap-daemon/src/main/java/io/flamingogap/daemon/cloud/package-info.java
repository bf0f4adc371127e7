/**
 * Talks to the cloud: notices and the instance list.
 */
@NullMarked
package io.flamingogap.daemon.cloud;

import org.jspecify.annotations.NullMarked;
