package io.flamingogap.daemon.nodes;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.thrift.TException;
import org.apache.thrift.TProcessor;
import org.apache.thrift.TProcessorFactory;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.settings.Settings;
import io.flamingogap.wire.NodeService;

/**
 * Thrift server for calls from other entry nodes.
 */
public final class NodeServer implements AutoCloseable {

	/** Maximum size of a message between entry nodes. */
	static final int MAX_FRAME_BYTES = 16_777_216;

	private static final int MAX_CONNECTIONS = 512;

	private static final long IDLE_THREAD_SECONDS = 30;

	private static final int STOP_TIMEOUT_SECONDS = 1;

	private final TThreadPoolServer server;

	private final Thread thread;

	private final ExecutorService executor;

	/**
	 * Bind a server. It accepts calls after {@link #start()}.
	 * @param settings the settings for communication between nodes
	 * @param address the address to listen on
	 * @param idleMillis the time without a message after which a connection is closed
	 * @param membership the membership table
	 * @param configuration the configuration in force
	 * @param rollouts the rollouts in progress
	 * @param requests the handler of calls that concern keyed requests
	 * @param clock the clock of this node
	 * @return a server that is bound but not started
	 * @throws TException if the address can't be bound
	 */
	public static NodeServer create(Settings.Nodes settings, Address address, int idleMillis, Membership membership,
			Configuration configuration, Rollouts rollouts, PeerRequestHandler requests, Clock clock)
			throws TException {
		Gossip gossip = new Gossip(membership, configuration, rollouts);
		NodeId self = membership.localMember().node();
		return new NodeServer(address, idleMillis,
				() -> new NodeSession(settings.sharedSecret(), self, gossip, configuration, requests, clock));
	}

	NodeServer(Address address, int idleMillis, Supplier<NodeService.Iface> sessions) throws TException {
		TServerSocket socket = new TServerSocket(new TServerSocket.ServerSocketTransportArgs()
			.bindAddr(new InetSocketAddress(address.host(), address.port()))
			.clientTimeout(idleMillis));
		this.executor = new ThreadPoolExecutor(0, MAX_CONNECTIONS, IDLE_THREAD_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>());
		TThreadPoolServer.Args args = new TThreadPoolServer.Args(socket).processorFactory(new SessionFactory(sessions))
			.transportFactory(new TFramedTransport.Factory(MAX_FRAME_BYTES))
			.protocolFactory(new TCompactProtocol.Factory())
			.executorService(this.executor)
			.stopTimeoutVal(STOP_TIMEOUT_SECONDS);
		this.server = new TThreadPoolServer(args);
		this.thread = new Thread(this.server::serve, "node-server");
		this.thread.setDaemon(true);
	}

	/**
	 * Start to accept connections.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.server.stop();
		this.executor.shutdownNow();
	}

	private static final class SessionFactory extends TProcessorFactory {

		private final Supplier<NodeService.Iface> sessions;

		private SessionFactory(Supplier<NodeService.Iface> sessions) {
			super(null);
			this.sessions = sessions;
		}

		@Override
		public TProcessor getProcessor(TTransport transport) {
			return new NodeService.Processor<>(this.sessions.get());
		}

	}

}
