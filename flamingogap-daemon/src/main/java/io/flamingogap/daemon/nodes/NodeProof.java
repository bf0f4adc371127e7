package io.flamingogap.daemon.nodes;

import java.nio.charset.StandardCharsets;

import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.text.Digests;

/**
 * Proof of the shared secret between entry nodes.
 */
final class NodeProof {

	private NodeProof() {
	}

	/**
	 * Return the code that proves the secret for one nonce and one sender.
	 * @param sharedSecret the secret
	 * @param nonce the receiver's nonce
	 * @param sender the sender
	 * @return the code
	 */
	static byte[] mac(String sharedSecret, byte[] nonce, NodeId sender) {
		byte[] name = sender.toString().getBytes(StandardCharsets.UTF_8);
		byte[] text = new byte[nonce.length + name.length];
		System.arraycopy(nonce, 0, text, 0, nonce.length);
		System.arraycopy(name, 0, text, nonce.length, name.length);
		return Digests.hmac(sharedSecret, text);
	}

}
