package io.flamingogap.gateway.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.log.LogLine;

/**
 * Ends the process if a server socket can't be bound, so that the program that supervises
 * the process can start it again. Exits on a separate thread, because
 * {@link System#exit(int)} would block the event loop during the shutdown.
 */
public final class ExitOnBindFailure implements ChannelFutureListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The exit status of a process that can't listen on an address. */
	private static final int BIND_FAILURE_STATUS = 3;

	private final Address address;

	/**
	 * Create a listener for the result of a bind.
	 * @param address the address to bind, for the log
	 */
	public ExitOnBindFailure(Address address) {
		this.address = address;
	}

	@Override
	public void operationComplete(ChannelFuture bindResult) {
		if (!bindResult.isSuccess()) {
			logger.atSevere()
				.log("%s",
						LogLine.of("can't listen")
							.with("address", this.address.toString())
							.with("reason", String.valueOf(bindResult.cause())));
			new Thread(() -> System.exit(BIND_FAILURE_STATUS), "exit").start();
		}
	}

}
