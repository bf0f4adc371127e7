/**
 * Communication between entry nodes: access to the platform's store through another node,
 * and datagrams with load reports and units of quotas.
 */
@NullMarked
package io.flamingogap.gateway.peers;

import org.jspecify.annotations.NullMarked;
