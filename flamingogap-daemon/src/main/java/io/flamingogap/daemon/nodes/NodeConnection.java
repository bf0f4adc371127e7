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
 * Client side of an authenticated connection to another entry node.
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
	 * Open a connection and authenticate the local node by the shared secret.
	 * @param address the address on which the peer accepts other nodes
	 * @param self the local node
	 * @param sharedSecret the secret that all entry nodes share
	 * @param timeoutMillis the timeout of the connect and of each read
	 * @return a connection that is ready for calls
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
			byte[] nonce = toByteArray(client.challenge());
			byte[] mac = SharedSecretProof.computeMac(sharedSecret, nonce, self);
			NodeId peer = WireCodec
				.fromWire(client.authenticate(new Proof(WireCodec.toWire(self), ByteBuffer.wrap(mac))));
			return new NodeConnection(socket, client, peer);
		}
		catch (TException ex) {
			socket.close();
			throw ex;
		}
	}

	private static byte[] toByteArray(ByteBuffer buffer) {
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
