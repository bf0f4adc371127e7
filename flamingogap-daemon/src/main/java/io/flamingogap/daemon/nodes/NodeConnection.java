package io.flamingogap.daemon.nodes;

import java.nio.ByteBuffer;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.wire.NodeService;
import io.flamingogap.wire.Proof;

/**
 * The sending end of one connection to another entry node, open and proven.
 */
final class NodeConnection implements AutoCloseable {

	private final TSocket socket;

	private final NodeService.Client client;

	private final NodeId peer;

	private NodeConnection(TSocket socket, NodeService.Client client, NodeId peer) {
		this.socket = socket;
		this.client = client;
		this.peer = peer;
	}

	/**
	 * Open a connection and prove the shared secret.
	 * @param address where the peer listens
	 * @param self this node
	 * @param sharedSecret the secret
	 * @param timeoutMillis how long one step may take
	 * @return the connection
	 * @throws TException if the peer can't be reached or refuses the proof
	 */
	static NodeConnection open(Address address, NodeId self, String sharedSecret, int timeoutMillis) throws TException {
		TConfiguration configuration = new TConfiguration(NodeServer.MAX_FRAME_BYTES, NodeServer.MAX_FRAME_BYTES,
				TConfiguration.DEFAULT_RECURSION_DEPTH);
		TSocket socket = new TSocket(configuration, address.host(), address.port(), timeoutMillis);
		try {
			TFramedTransport transport = new TFramedTransport(socket, NodeServer.MAX_FRAME_BYTES);
			transport.open();
			NodeService.Client client = new NodeService.Client(new TCompactProtocol(transport));
			byte[] nonce = bytes(client.challenge());
			byte[] mac = NodeProof.mac(sharedSecret, nonce, self);
			NodeId peer = WireCodec
				.fromWire(client.authenticate(new Proof(WireCodec.toWire(self), ByteBuffer.wrap(mac))));
			return new NodeConnection(socket, client, peer);
		}
		catch (TException ex) {
			socket.close();
			throw ex;
		}
	}

	private static byte[] bytes(ByteBuffer buffer) {
		byte[] copy = new byte[buffer.remaining()];
		buffer.get(copy);
		return copy;
	}

	NodeService.Client client() {
		return this.client;
	}

	NodeId peer() {
		return this.peer;
	}

	void setTimeoutMillis(int timeoutMillis) {
		this.socket.setTimeout(timeoutMillis);
	}

	@Override
	public void close() {
		this.socket.close();
	}

}
