package io.flamingogap.gateway;

import java.util.Optional;

import io.flamingogap.gateway.backends.BackendProtocol;
import io.flamingogap.gateway.callers.CallerProtocol;
import io.flamingogap.gateway.callers.DirectoryProtocol;
import io.flamingogap.gateway.cloud.CloudApi;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordStore;

/**
 * The implementations of the gateway's interfaces for one platform.
 *
 * @param callerProtocol parses requests of callers and writes headers of responses
 * @param directoryProtocol parses and answers callers' lookups of entry nodes
 * @param backendProtocol the protocol between the gateway and backend servers
 * @param recordCodec encodes and decodes records of operators and backend servers
 * @param store the store that the nodes share
 * @param cloud the calls to the cloud; empty if the node isn't configured to call it
 */
public record PlatformAdapters(CallerProtocol callerProtocol, DirectoryProtocol directoryProtocol,
		BackendProtocol backendProtocol, RecordCodec recordCodec, RecordStore store, Optional<CloudApi> cloud) {
}
