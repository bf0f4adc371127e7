package io.flamingogap.gateway;

import java.util.Optional;

import io.flamingogap.gateway.backends.BackendProtocol;
import io.flamingogap.gateway.callers.CallerProtocol;
import io.flamingogap.gateway.callers.DirectoryProtocol;
import io.flamingogap.gateway.cloud.CloudApi;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordStore;

/**
 * What a platform provides to a node.
 *
 * @param callers what callers speak
 * @param directory how callers ask where to connect
 * @param backends what backend servers speak
 * @param records how records of operators and servers are spelled
 * @param store the store
 * @param cloud the cloud's calls; empty if the node may not call it
 */
public record PlatformAdapters(CallerProtocol callers, DirectoryProtocol directory, BackendProtocol backends,
		RecordCodec records, RecordStore store, Optional<CloudApi> cloud) {
}
