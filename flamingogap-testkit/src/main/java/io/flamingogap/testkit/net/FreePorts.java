package io.flamingogap.testkit.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports below the range of ephemeral ports, so that no outgoing connection
 * occupies a port before its server starts. The ports are in blocks that this process has
 * locked until it ends, so that other processes that use this class don't take them,
 * neither before their servers start nor while these are stopped.
 */
public final class FreePorts {

	private static final FreePorts INSTANCE = new FreePorts(PortBlocks.inTemporaryDirectory());

	private final PortBlocks blocks;

	/** Ports of locked blocks that were not returned yet. */
	private final List<Integer> unused = new ArrayList<>();

	FreePorts(PortBlocks blocks) {
		this.blocks = blocks;
	}

	/**
	 * Return ports that are free now. No port is returned twice.
	 * @param count the number of ports
	 * @return the port numbers
	 */
	public static List<Integer> take(int count) {
		return INSTANCE.takeFree(count);
	}

	synchronized List<Integer> takeFree(int count) {
		List<Integer> ports = new ArrayList<>();
		while (ports.size() < count) {
			if (this.unused.isEmpty()) {
				this.unused.addAll(this.blocks.lockNext());
			}
			int port = this.unused.remove(0);
			if (isFree(port)) {
				ports.add(port);
			}
		}
		return ports;
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
