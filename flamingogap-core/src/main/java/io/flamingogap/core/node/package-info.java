/**
 * Identities and addresses of entry nodes.
 */
@NullMarked
package io.flamingogap.core.node;

import org.jspecify.annotations.NullMarked;
