/**
 * What backend servers speak: connections to them and their answers.
 */
@NullMarked
package io.flamingogap.gateway.backends;

import org.jspecify.annotations.NullMarked;
