package io.flamingogap.testkit.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports below the range of ephemeral ports, so that no outgoing connection
 * occupies a port before its server starts.
 */
public final class FreePorts {

	private static final int FIRST = 20_000;

	private static final int COUNT = 12_000;

	/** Spaces out the first ports of processes that run at the same time. */
	private static final int STEP_PER_PROCESS = 61;

	private static long next = ProcessHandle.current().pid() * STEP_PER_PROCESS;

	private FreePorts() {
	}

	/**
	 * Return ports that are free now. No port is returned again until the whole range has
	 * been tried.
	 * @param count the number of ports
	 * @return the port numbers
	 */
	public static synchronized List<Integer> take(int count) {
		List<Integer> ports = new ArrayList<>();
		for (int attempts = 0; ports.size() < count; attempts++) {
			if (attempts > COUNT) {
				throw new IllegalStateException("fewer than " + count + " free ports from " + FIRST);
			}
			int port = FIRST + (int) (next++ % COUNT);
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
