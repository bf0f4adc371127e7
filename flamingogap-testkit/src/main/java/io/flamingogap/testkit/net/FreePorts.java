package io.flamingogap.testkit.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Hands out free ports below the range from which systems take ports by themselves, so
 * that no outgoing connection takes one before its server starts.
 */
public final class FreePorts {

	private static final int FIRST = 20_000;

	private static final int COUNT = 12_000;

	/** Spreads processes that run at the same time. */
	private static final int STEP_PER_PROCESS = 61;

	private static long next = ProcessHandle.current().pid() * STEP_PER_PROCESS;

	private FreePorts() {
	}

	/**
	 * Return free ports, each of them once.
	 * @param count how many
	 * @return the ports
	 */
	public static synchronized List<Integer> take(int count) {
		List<Integer> ports = new ArrayList<>();
		for (int tries = 0; ports.size() < count; tries++) {
			if (tries > COUNT) {
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
