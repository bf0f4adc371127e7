package io.flamingogap.daemon.nodes;

import java.nio.charset.StandardCharsets;

import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.text.Digests;

/**
 * Utility that computes the proof by which an entry node shows that it knows the shared
 * secret.
 */
final class SharedSecretProof {

	private SharedSecretProof() {
	}

	/**
	 * Compute the message authentication code for a nonce and a sender.
	 * @param sharedSecret the secret that all entry nodes share
	 * @param nonce the random bytes that the receiver sent as its challenge
	 * @param sender the node that authenticates itself
	 * @return an HMAC over the nonce and the name and incarnation of the sender
	 */
	static byte[] computeMac(String sharedSecret, byte[] nonce, NodeId sender) {
		byte[] name = sender.toString().getBytes(StandardCharsets.UTF_8);
		byte[] text = new byte[nonce.length + name.length];
		System.arraycopy(nonce, 0, text, 0, nonce.length);
		System.arraycopy(name, 0, text, nonce.length, name.length);
		return Digests.hmac(sharedSecret, text);
	}

}
